// Command soak runs instances of pimentowind under random faults and checks what
// callers and backend servers observe.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/internal/rehearser"
	"github.com/pimentowind/pimentowind/internal/soaker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "soak: %v\n", err)
		os.Exit(1)
	}
}

// options holds the parsed command line.
type options struct {
	settings  soaker.Settings
	runs      []soaker.Regression
	keepGoing bool
}

// parse parses the command line; with --regressions the runs are soaker.Regressions.
func parse(arguments []string) (*options, error) {
	options := &options{}
	application := kingpin.New("soak", "Run instances as processes under random faults and check what callers and backend servers observe.")
	seed := application.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := application.Flag("seeds", "Number of consecutive seeds to run, one after another.").Default("1").Int()
	duration := application.Flag("for", "How long to inject faults.").Default("60s").Duration()
	instances := application.Flag("instances", "Number of instances, 250 at most.").Default("6").Int()
	domains := application.Flag("failure-domains", "Number of failure domains.").Default("3").Int()
	faults := application.Flag("fault", "Kind of fault to draw from; may be repeated. All by default.").Enums(soaker.FaultNames()...)
	callers := application.Flag("callers", "Number of callers, 250 at most.").Default("4").Int()
	regressions := application.Flag("regressions", "Run the regression seeds instead: those that found a defect before.").Bool()
	application.Flag("keep-going", "Continue with the next seed after a violation.").BoolVar(&options.keepGoing)
	application.Flag("binary", "Program to run; by default it is built from the current folder.").StringVar(&options.settings.Binary)
	if _, err := application.Parse(arguments); err != nil {
		return nil, err
	}
	options.settings = soaker.Settings{Instances: *instances, FailureDomains: *domains, Callers: *callers, FaultNames: *faults, CheckTimeLimits: true, Binary: options.settings.Binary}
	for i := range *seeds {
		options.runs = append(options.runs, soaker.Regression{Seed: *seed + uint64(i), Duration: *duration})
	}
	if *regressions {
		options.runs = soaker.Regressions
	}
	return options, nil
}

// run builds the load balancer and runs every seed. The logs are kept if a seed fails.
func run(ctx context.Context, arguments []string) error {
	options, err := parse(arguments)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "pimentowind-soak")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	if options.settings.Binary == "" {
		options.settings.Binary = filepath.Join(directory, "pimentowind")
		if err := rehearser.Build(ctx, ".", directory); err != nil {
			return err
		}
	}
	failedSeeds, err := runAll(ctx, options, directory)
	if err != nil {
		return err
	}
	if failedSeeds > 0 {
		return errors.Errorf("violations with %d seeds; see the logs in %s", failedSeeds, directory)
	}
	return os.RemoveAll(directory)
}

// runAll runs the seeds, by default up to the first with violations, and returns the
// number of seeds with violations.
func runAll(ctx context.Context, options *options, directory string) (int, error) {
	failedSeeds := 0
	settings := options.settings
	for _, run := range options.runs {
		if ctx.Err() != nil {
			break
		}
		settings.Seed, settings.Duration, settings.FaultKinds = run.Seed, run.Duration, run.FaultKinds
		passed, err := runSeed(ctx, settings, directory)
		if err != nil {
			return failedSeeds, err
		}
		if passed {
			continue
		}
		failedSeeds++
		if !options.keepGoing {
			break
		}
	}
	return failedSeeds, nil
}

// runSeed runs one seed, prints its result and reports whether it had no violations.
// The logs are removed in that case.
func runSeed(ctx context.Context, settings soaker.Settings, directory string) (bool, error) {
	settings.Directory = filepath.Join(directory, fmt.Sprintf("seed-%d", settings.Seed))
	if err := os.Mkdir(settings.Directory, 0o700); err != nil {
		return false, err
	}
	report, err := soaker.Run(ctx, settings)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, served %d, refused %d, shed %d, failed %d, violations %d\n",
		report.Seed, len(report.Timeline), report.Served, report.Refused, report.Shed, report.Failed, len(report.Violations))
	if silences := report.Silences(); silences != "" {
		fmt.Println("  " + silences)
	}
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(settings.Directory)
	}
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	return false, report.Save(settings.Directory)
}
