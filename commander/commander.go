package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/balancer"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/director"
	"github.com/pimentowind/pimentowind/issuer"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform"
)

// Exit codes; docs/OPERATING.md explains them.
const (
	ExitOK         = 0
	ExitFailure    = 1 // the work could not be done
	ExitUsage      = 2 // the command line is wrong
	ExitFindings   = 3 // a sheet, calendar or settings file has findings
	ExitConflict   = 4 // another operator's load came first
	ExitIncomplete = 5 // loaded, but not in force on every listed instance in time
)

const defaultWait = 30 * time.Second

// errIncomplete marks a load that is not in force everywhere yet.
var errIncomplete = errors.New("not in force everywhere")

// command holds what the command line says.
type command struct {
	context context.Context
	output  io.Writer
	errors  io.Writer

	file      string
	sheetFile string
	settings  string
	platform  platformFlags
	wait      time.Duration
	directory string
	authority string
	name      string
}

// platformFlags say how an operator reaches the platform.
type platformFlags struct {
	url      string
	token    string
	timeout  time.Duration
	operator string
}

// Run runs one command line and returns the exit code.
func Run(ctx context.Context, arguments []string, output, errorOutput io.Writer) int {
	command := &command{context: ctx, output: output, errors: errorOutput}
	application := command.application()
	exit := -1
	application.Terminate(func(code int) { exit = code })
	application.UsageWriter(output).ErrorWriter(errorOutput)
	_, err := application.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errorOutput, "pimentowind: %v\n", err)
	return exitCode(err)
}

func (command *command) application() *kingpin.Application {
	application := kingpin.New("pimentowind", "Layer-4 load balancer for fleets in which any packet may reach any balancer.")
	application.HelpFlag.Short('h')

	balance := application.Command("balance", "Run one balancer instance until it is told to stop.")
	balance.Flag("settings", "JSON settings file of the instance.").Required().StringVar(&command.settings)
	balance.Action(command.act(command.balance))

	serve := application.Command("serve", "Run one instance on the users' platform until it is told to stop.")
	serve.Flag("settings", "JSON settings file of the instance.").Envar(platform.SettingsVariable).Required().StringVar(&command.settings)
	serve.Action(command.act(command.serve))

	settings := application.Command("settings", "Work with settings files.")
	checkSettings := settings.Command("check", "Check a settings file and print every finding.")
	checkSettings.Arg("file", "JSON settings file.").Required().StringVar(&command.file)
	checkSettings.Action(command.act(command.checkSettings))

	checkServe := settings.Command("check-serve", "Check a settings file for 'serve' and print every finding.")
	checkServe.Arg("file", "JSON settings file.").Required().StringVar(&command.file)
	checkServe.Action(command.act(command.checkServe))

	command.sheetCommands(application)
	command.calendarCommands(application)
	command.keyCommands(application)

	version := application.Command("version", "Print the version of the program.")
	version.Action(command.act(command.version))
	return application
}

func (command *command) keyCommands(application *kingpin.Application) {
	keys := application.Command("keys", "Make the keys by which instances know each other.")
	authority := keys.Command("authority", "Make a certificate authority: ca.crt and ca.key.")
	authority.Flag("out", "Directory for the files.").Required().ExistingDirVar(&command.directory)
	authority.Action(command.act(command.makeAuthority))
	instance := keys.Command("instance", "Make the key pair of one instance: NAME.crt and NAME.key.")
	instance.Arg("name", "Name of the instance, as in its settings.").Required().StringVar(&command.name)
	instance.Flag("authority", "Directory with ca.crt and ca.key.").Required().ExistingDirVar(&command.authority)
	instance.Flag("out", "Directory for the files.").Required().ExistingDirVar(&command.directory)
	instance.Action(command.act(command.makeInstanceKeys))
}

// actionError is an error of the work, as opposed to one of the command line.
type actionError struct{ cause error }

// Error returns the cause's text.
func (actionError *actionError) Error() string { return actionError.cause.Error() }

// Unwrap returns the cause.
func (actionError *actionError) Unwrap() error { return actionError.cause }

// act marks the errors of an action, so that they are not taken for errors of usage.
func (command *command) act(action func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := action(); err != nil {
			return &actionError{cause: err}
		}
		return nil
	}
}

func exitCode(err error) int {
	var actionError *actionError
	if !errors.As(err, &actionError) {
		return ExitUsage
	}
	var findings parser.Findings
	var settingsFindings configurer.Findings
	switch {
	case errors.As(err, &findings), errors.As(err, &settingsFindings):
		return ExitFindings
	case isConflict(err):
		return ExitConflict
	case errors.Is(err, errIncomplete):
		return ExitIncomplete
	default:
		return ExitFailure
	}
}

func (command *command) balance() error {
	settings, err := configurer.Read(command.settings)
	if err != nil {
		return err
	}
	return balancer.Run(command.context, settings, command.errors)
}

func (command *command) serve() error {
	return director.Run(command.context, command.settings, command.output)
}

func (command *command) checkSettings() error {
	settings, err := configurer.Read(command.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s: settings of instance %q are right\n", command.file, settings.Instance)
	return nil
}

func (command *command) checkServe() error {
	settings, err := configurer.ReadPlatformSettings(command.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s: settings of instance %q are right\n", command.file, settings.Instance)
	return nil
}

func (command *command) makeAuthority() error {
	pair, err := issuer.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	return pair.Write(command.directory, issuer.AuthorityName)
}

func (command *command) makeInstanceKeys() error {
	authority, err := issuer.ReadKeyPair(command.authority, issuer.AuthorityName)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(command.name, time.Now())
	if err != nil {
		return err
	}
	return pair.Write(command.directory, command.name)
}

func (command *command) version() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program holds no build information")
	}
	fmt.Fprintf(command.output, "pimentowind %s, %s\n", info.Main.Version, info.GoVersion)
	return nil
}

func openFile(name string, use func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open file")
	}
	defer file.Close()
	return use(file)
}
