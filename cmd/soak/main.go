// Command soak runs pimentowind under random faults and checks its promises.
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

// options are what the command line asks for.
type options struct {
	settings  soaker.Settings
	runs      []soaker.Regression
	keepGoing bool
}

func parse(arguments []string) (*options, error) {
	application := kingpin.New("soak", "Run instances as processes under random faults and check what callers and backend servers see.")
	seed := application.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := application.Flag("seeds", "How many seeds to run, one after another.").Default("1").Int()
	duration := application.Flag("for", "How long faults come.").Default("60s").Duration()
	instances := application.Flag("instances", "Number of instances, 250 at most.").Default("6").Int()
	callers := application.Flag("callers", "Number of callers, 250 at most.").Default("4").Int()
	regressions := application.Flag("regressions", "Run the seeds that once failed instead.").Bool()
	keepGoing := application.Flag("keep-going", "Go on with the next seed after a violation.").Bool()
	if _, err := application.Parse(arguments); err != nil {
		return nil, err
	}
	options := &options{keepGoing: *keepGoing}
	options.settings = soaker.Settings{Instances: *instances, Callers: *callers, CheckTimeLimits: true}
	for i := range *seeds {
		options.runs = append(options.runs, soaker.Regression{Seed: *seed + uint64(i), Duration: *duration})
	}
	if *regressions {
		options.runs = soaker.Regressions
	}
	return options, nil
}

func run(ctx context.Context, arguments []string) error {
	options, err := parse(arguments)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "pimentowind-soak")
	if err != nil {
		return errors.Wrap(err, "temporary directory")
	}
	if err := rehearser.Build(ctx, ".", directory); err != nil {
		return err
	}
	options.settings.Binary = filepath.Join(directory, "pimentowind")
	violated, err := runAll(ctx, options, directory)
	if err != nil {
		return err
	}
	if violated > 0 {
		return errors.Errorf("%d seeds with violations; logs are in %s", violated, directory)
	}
	return os.RemoveAll(directory)
}

// runAll runs the seeds and returns how many had violations.
func runAll(ctx context.Context, options *options, directory string) (int, error) {
	violated := 0
	settings := options.settings
	for _, run := range options.runs {
		if ctx.Err() != nil {
			break
		}
		settings.Seed, settings.Duration, settings.FaultKinds = run.Seed, run.Duration, run.FaultKinds
		clean, err := runSeed(ctx, settings, directory)
		if err != nil {
			return violated, err
		}
		if clean {
			continue
		}
		violated++
		if !options.keepGoing {
			break
		}
	}
	return violated, nil
}

// runSeed runs one seed and prints what it saw; the logs of a clean one are removed.
func runSeed(ctx context.Context, settings soaker.Settings, directory string) (bool, error) {
	settings.Directory = filepath.Join(directory, fmt.Sprintf("seed-%d", settings.Seed))
	if err := os.Mkdir(settings.Directory, 0o700); err != nil {
		return false, err
	}
	report, err := soaker.Run(ctx, settings)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, served %d, refused %d, failed %d, violations %d\n",
		report.Seed, len(report.Timeline), report.Served, report.Refused, report.Failed, len(report.Violations))
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(settings.Directory)
	}
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	return false, report.Save(settings.Directory)
}
