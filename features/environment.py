"""Prepares behave: gevent patches the standard library first."""

from gevent import monkey

monkey.patch_all()
