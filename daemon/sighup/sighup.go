// Package sighup installs a handler for SIGHUP while the program's packages are
// initialized, before main runs. Without a handler the signal ends the process, and the
// platform may send it at any time after the process starts.
package sighup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives SIGHUP from the initialization of this package on. The package
// imports nothing but os, os/signal and syscall, so that it is initialized early.
var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel that receives SIGHUP.
func Signals() <-chan os.Signal { return signals }
