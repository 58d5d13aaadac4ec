// Command cactusctl is the operators' tool.
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
