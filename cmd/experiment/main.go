// Command experiment compares the product with simpler load-balancing methods in a simulation.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentowind/pimentowind/internal/experimenter"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: %v\n", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	application := kingpin.New("experiment", "Simulate load-balancing methods and measure broken flows, imbalance, relays and control traffic.")
	seeds := application.Flag("seed", "Seed of the simulation; may be repeated.").Default("1").Uint64List()
	methods := application.Flag("method", "Comma-separated methods.").Default("modulo,rendezvous,local_table,product").String()
	scenarios := application.Flag("scenario", "Comma-separated scenarios (default: the standard set).").String()
	connections := application.Flag("connections", "Open flows per backend server.").Default("2000").Int()
	counters := application.Flag("counters", "Also print the product's counters, control traffic by kind and weights.").Bool()
	warmup := application.Flag("warmup", "Simulated time before the measurement.").Default(experimenter.Teranga.WarmupTime.String()).Duration()
	traces := application.Flag("trace", "Broken flows to trace in each run.").Default("0").Int()
	if _, err := application.Parse(arguments); err != nil {
		return err
	}
	selectedScenarios := experimenter.Scenarios()
	if *scenarios != "" {
		selectedScenarios = nil
		for _, name := range strings.Split(*scenarios, ",") {
			selectedScenarios = append(selectedScenarios, experimenter.Scenario(name))
		}
	}
	deployment := experimenter.Teranga
	deployment.FlowsPerServer = *connections
	deployment.MaxTraces = *traces
	deployment.WarmupTime = *warmup
	results := runAll(deployment, selectedScenarios, strings.Split(*methods, ","), *seeds)
	if err := experimenter.PrintTable(os.Stdout, results); err != nil {
		return err
	}
	for _, result := range results {
		for _, trace := range result.Traces {
			fmt.Println(result.Scenario, result.Seed, trace)
		}
		if *counters && result.Method == experimenter.Product {
			fmt.Println(result.Scenario, result.Seed, result.Counters, result.ControlBytesByKind)
			fmt.Println(strings.Join(result.WeightLines, "\n"))
		}
	}
	return nil
}

// runAll runs every combination, on half of the processors, and returns the results in order.
func runAll(deployment experimenter.Deployment, scenarios []experimenter.Scenario, methods []string, seeds []uint64) []*experimenter.Result {
	var jobs []func() *experimenter.Result
	for _, scenario := range scenarios {
		for _, seed := range seeds {
			for _, method := range methods {
				jobs = append(jobs, func() *experimenter.Result {
					return experimenter.Run(deployment, experimenter.Method(method), scenario, seed)
				})
			}
		}
	}
	results := make([]*experimenter.Result, len(jobs))
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var group sync.WaitGroup
	for i, job := range jobs {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i] = job()
		})
	}
	group.Wait()
	return results
}
