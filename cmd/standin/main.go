// Command standin simulates one of the systems around the load balancers, for rehearsals
// on one machine: the platform, the fabric, a backend server or a caller.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentowind/pimentowind/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

// address is a flag value that holds an IP address with a port.
type address struct{ netip.AddrPort }

// Set parses text as an IP address with a port.
func (address *address) Set(text string) (err error) {
	address.AddrPort, err = netip.ParseAddrPort(text)
	return err
}

func run(ctx context.Context, arguments []string) error {
	application := kingpin.New("standin", "Stand-ins for the systems around the load balancers.")
	platformCommand(ctx, application)
	fabricCommand(ctx, application)
	backendCommand(ctx, application)
	callerCommand(ctx, application)
	_, err := application.Parse(arguments)
	return err
}

// serve serves HTTP on the control address until ctx ends.
func serve(ctx context.Context, control address, handler http.Handler) error {
	server := &http.Server{Addr: control.String(), Handler: handler}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func platformCommand(ctx context.Context, application *kingpin.Application) {
	clause := application.Command("platform", "Run the platform's object API.")
	var control address
	clause.Flag("address", "Address to listen on.").Required().SetValue(&control)
	token := clause.Flag("token", "Token that calls must carry.").Required().String()
	clause.Action(func(*kingpin.ParseContext) error {
		return serve(ctx, control, standin.NewPlatform(*token).Handler())
	})
}

func fabricCommand(ctx context.Context, application *kingpin.Application) {
	clause := application.Command("fabric", "Run the fabric that sprays packets over the balancers.")
	var tunnel, control address
	clause.Flag("address", "Tunnel address.").Required().SetValue(&tunnel)
	clause.Flag("control", "HTTP address for PUT /balancers.").Required().SetValue(&control)
	seed := clause.Flag("seed", "Seed for the selection of balancers.").Default("1").Uint64()
	clause.Action(func(*kingpin.ParseContext) error {
		fabric, cleanup, err := standin.NewFabric(tunnel.AddrPort, *seed)
		if err != nil {
			return err
		}
		defer cleanup()
		go fabric.Run()
		return serve(ctx, control, fabric.Handler())
	})
}

func backendCommand(ctx context.Context, application *kingpin.Application) {
	clause := application.Command("backend", "Run a backend server.")
	var tunnel, fabric, service, control address
	var options standin.BackendOptions
	clause.Flag("name", "Name of the server in answers.").Required().StringVar(&options.Name)
	clause.Flag("address", "Tunnel address.").Required().SetValue(&tunnel)
	clause.Flag("fabric", "Tunnel address of the fabric.").Required().SetValue(&fabric)
	clause.Flag("service", "Address of the service.").Required().SetValue(&service)
	clause.Flag("control", "HTTP address for statistics.").Required().SetValue(&control)
	clause.Flag("slots", "Requests executed concurrently.").Default("3").IntVar(&options.Slots)
	clause.Flag("strength", "Work units per second of one slot.").Default("1").Float64Var(&options.SlotSpeed)
	clause.Flag("work", "Work units of one request.").Default("0.002").Float64Var(&options.RequestWork)
	clause.Flag("cold", "Time after the start in which requests take three times as long.").DurationVar(&options.WarmupTime)
	clause.Flag("max-queue", "Requests queued or in execution at which new flows are shed.").Default("1000").IntVar(&options.MaxQueue)
	clause.Flag("lag", "Minimum interval between updates of the load endpoint.").Default("5s").DurationVar(&options.LoadDelay)
	clause.Action(func(*kingpin.ParseContext) error {
		options.Address, options.FabricAddress, options.ServiceAddress = tunnel.AddrPort, fabric.AddrPort, service.AddrPort
		backend, cleanup, err := standin.NewBackend(options)
		if err != nil {
			return err
		}
		defer cleanup()
		go backend.Run()
		return serve(ctx, control, backend.Handler())
	})
}

func callerCommand(ctx context.Context, application *kingpin.Application) {
	clause := application.Command("caller", "Open flows, check the answers and print a report as JSON.")
	var socket, fabric, service address
	var options standin.CallerOptions
	clause.Flag("address", "Socket address.").Required().SetValue(&socket)
	clause.Flag("fabric", "Tunnel address of the fabric.").Required().SetValue(&fabric)
	clause.Flag("service", "Service address.").Required().SetValue(&service)
	source := clause.Flag("source", "Source address inside the tunnel.").Required().String()
	clause.Flag("udp", "Use UDP.").BoolVar(&options.UDP)
	clause.Flag("flows", "Concurrent flows.").Default("100").IntVar(&options.Flows)
	clause.Flag("interval", "Time between the requests of one flow.").Default("500ms").DurationVar(&options.Interval)
	clause.Flag("requests", "Requests per flow, 0 to keep it open.").Default("0").IntVar(&options.Requests)
	clause.Flag("duration", "How long to run.").Default("10s").DurationVar(&options.Duration)
	clause.Action(func(*kingpin.ParseContext) error {
		options.Address, options.FabricAddress, options.ServiceAddress = socket.AddrPort, fabric.AddrPort, service.AddrPort
		parsed, err := netip.ParseAddr(*source)
		if err != nil {
			return err
		}
		options.Source = parsed
		caller, cleanup, err := standin.NewCaller(options)
		if err != nil {
			return err
		}
		defer cleanup()
		return json.NewEncoder(os.Stdout).Encode(caller.Run(ctx))
	})
}
