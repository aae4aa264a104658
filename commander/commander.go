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

// Exit codes of Run. They are part of the command-line interface; docs/OPERATING.md
// documents them for operators.
const (
	ExitOK         = 0
	ExitFailure    = 1 // the command failed for a reason that has no code of its own
	ExitUsage      = 2 // the command line is invalid
	ExitFindings   = 3 // a sheet, calendar or settings file has findings
	ExitConflict   = 4 // another operator loaded a newer version first
	ExitIncomplete = 5 // the sheet is loaded but not yet in force on every listed instance
)

// defaultWaitTimeout limits how long a command that calls the platform may take; for loading
// a sheet it is the default of --wait.
const defaultWaitTimeout = 30 * time.Second

// errNotInForce is returned if a loaded sheet is not yet in force on every instance.
var errNotInForce = errors.New("not in force everywhere")

// command holds the parsed command line and the streams that the command writes to.
type command struct {
	context     context.Context
	output      io.Writer
	errorOutput io.Writer

	file               string
	sheetFile          string
	settingsFile       string
	platform           platformOptions
	waitTimeout        time.Duration
	outputDirectory    string
	authorityDirectory string
	instanceName       string
}

// platformOptions holds the flags of the commands that call the platform.
type platformOptions struct {
	url      string
	token    string
	timeout  time.Duration
	operator string
}

// Run parses arguments, runs the command they name and returns its exit code. Results
// and usage go to output, errors to errorOutput; canceling ctx stops the command.
func Run(ctx context.Context, arguments []string, output, errorOutput io.Writer) int {
	command := &command{context: ctx, output: output, errorOutput: errorOutput}
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
	application := kingpin.New("pimentowind", "Layer-4 load balancer for fleets in which any packet may reach any instance.")
	application.HelpFlag.Short('h')

	balance := application.Command("balance", "Run one load balancer instance until SIGINT or SIGTERM.")
	balance.Flag("settings", "JSON settings file of the instance.").Required().StringVar(&command.settingsFile)
	balance.Action(command.asAction(command.balance))

	serve := application.Command("serve", "Run one load balancer instance on the users' platform until SIGINT or SIGTERM.")
	serve.Flag("settings", "JSON settings file of the instance.").Envar(platform.SettingsVariable).Required().StringVar(&command.settingsFile)
	serve.Action(command.asAction(command.serve))

	settings := application.Command("settings", "Check settings files.")
	checkSettings := settings.Command("check", "Check a settings file and print every finding.")
	checkSettings.Arg("file", "JSON settings file.").Required().StringVar(&command.file)
	checkSettings.Action(command.asAction(command.checkSettings))

	checkServe := settings.Command("check-serve", "Check a settings file for 'serve' and print every finding.")
	checkServe.Arg("file", "JSON settings file.").Required().StringVar(&command.file)
	checkServe.Action(command.asAction(command.checkPlatformSettings))

	command.addSheetCommands(application)
	command.addCalendarCommands(application)
	command.addKeyCommands(application)

	version := application.Command("version", "Print the version of the program.")
	version.Action(command.asAction(command.printVersion))
	return application
}

func (command *command) addKeyCommands(application *kingpin.Application) {
	keys := application.Command("keys", "Create the certificates and keys with which instances authenticate each other.")
	authority := keys.Command("authority", "Create a certificate authority: ca.crt and ca.key.")
	authority.Flag("out", "Directory for the files.").Required().ExistingDirVar(&command.outputDirectory)
	authority.Action(command.asAction(command.makeAuthority))
	instance := keys.Command("instance", "Create the certificate and key of one instance: NAME.crt and NAME.key.")
	instance.Arg("name", "Name of the instance, as in its settings file.").Required().StringVar(&command.instanceName)
	instance.Flag("authority", "Directory with ca.crt and ca.key.").Required().ExistingDirVar(&command.authorityDirectory)
	instance.Flag("out", "Directory for the files.").Required().ExistingDirVar(&command.outputDirectory)
	instance.Action(command.asAction(command.makeInstanceKeys))
}

// actionError wraps an error that a command returned, as opposed to an error in the
// command line.
type actionError struct{ cause error }

// Error returns the text of the wrapped error.
func (actionError *actionError) Error() string { return actionError.cause.Error() }

// Unwrap returns the wrapped error.
func (actionError *actionError) Unwrap() error { return actionError.cause }

// asAction converts a function to a kingpin action and wraps its errors in actionError,
// which exitCode distinguishes from usage errors.
func (command *command) asAction(action func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := action(); err != nil {
			return &actionError{cause: err}
		}
		return nil
	}
}

// exitCode returns the exit code for an error of application.Parse, which is a usage error
// unless a command returned it.
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
	case errors.Is(err, errNotInForce):
		return ExitIncomplete
	default:
		return ExitFailure
	}
}

func (command *command) balance() error {
	settings, err := configurer.Read(command.settingsFile)
	if err != nil {
		return err
	}
	return balancer.Run(command.context, settings, command.errorOutput)
}

func (command *command) serve() error {
	return director.Run(command.context, command.settingsFile, command.output)
}

func (command *command) checkSettings() error {
	settings, err := configurer.Read(command.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s: settings of instance %q are valid\n", command.file, settings.Instance)
	return nil
}

func (command *command) checkPlatformSettings() error {
	settings, err := configurer.ReadPlatformSettings(command.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s: settings of instance %q are valid\n", command.file, settings.Instance)
	return nil
}

func (command *command) makeAuthority() error {
	pair, err := issuer.NewAuthority(time.Now())
	if err != nil {
		return err
	}
	return pair.Write(command.outputDirectory, issuer.AuthorityName)
}

func (command *command) makeInstanceKeys() error {
	authority, err := issuer.ReadKeyPair(command.authorityDirectory, issuer.AuthorityName)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(command.instanceName, time.Now())
	if err != nil {
		return err
	}
	return pair.Write(command.outputDirectory, command.instanceName)
}

func (command *command) printVersion() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the executable contains no build information")
	}
	fmt.Fprintf(command.output, "pimentowind %s, %s\n", info.Main.Version, info.GoVersion)
	return nil
}

// withFile opens the named file, passes it to read and closes it.
func withFile(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open file")
	}
	defer file.Close()
	return read(file)
}
