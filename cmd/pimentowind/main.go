// Command pimentowind runs a layer-4 load balancer instance and provides its operators'
// commands, see package commander.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pimentowind/pimentowind/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
