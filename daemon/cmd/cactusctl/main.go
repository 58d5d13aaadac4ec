// Command cactusctl is the command-line tool for operators and developers of a
// deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactusknot.example/daemon/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
