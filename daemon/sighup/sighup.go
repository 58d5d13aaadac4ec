// Package sighup installs the handler of SIGHUP while the packages of the program
// are initialized, before main runs. Without a handler the signal ends the process,
// and the platform may send it at any time after the start.
package sighup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals gets SIGHUP from the moment at which this package is initialized. The
// package imports nothing else, so that this is early.
var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel that gets SIGHUP.
func Signals() <-chan os.Signal { return signals }
