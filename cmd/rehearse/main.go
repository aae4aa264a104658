// Command rehearse builds pimentowind and runs a sample deployment on loopback: several
// instances, backend servers and callers as separate processes. It exits with status 1
// if a flow or request was lost, refused, executed twice or sent to the wrong server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/internal/rehearser"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "rehearse: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	application := kingpin.New("rehearse", "Run a sample fleet, replace an instance and drain a backend server under load.")
	duration := application.Flag("duration", "How long callers send requests.").Default("20s").Duration()
	limit := application.Flag("limit", "Time after which the rehearsal is aborted.").Default("55s").Duration()
	if _, err := application.Parse(arguments); err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "pimentowind")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer os.RemoveAll(directory)
	fmt.Println("building pimentowind and the stand-ins")
	if err := rehearser.Build(ctx, ".", directory); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	started := time.Now()
	outcome, err := rehearser.Rehearse(ctx, directory, directory, *duration, os.Stdout)
	if err != nil {
		return err
	}
	outcome.Print(os.Stdout)
	fmt.Printf("rehearsal took %.0f s\n", time.Since(started).Seconds())
	if !outcome.Passed() {
		return errors.New("a flow or request was lost, refused, executed twice or sent to the wrong server")
	}
	fmt.Println("nothing broke")
	return nil
}
