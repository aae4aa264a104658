package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/loader"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/storer"
)

func (command *command) addSheetCommands(application *kingpin.Application) {
	sheet := application.Command("sheet", "Check and load sheets and print where they are in force.")
	check := sheet.Command("check", "Check a sheet and print every finding with its row and column.")
	check.Arg("file", "Sheet as CSV.").Required().StringVar(&command.file)
	check.Action(command.asAction(command.checkSheet))

	load := sheet.Command("load", "Load a sheet and wait until it is in force on every instance.")
	load.Arg("file", "Sheet as CSV.").Required().StringVar(&command.file)
	load.Flag("wait", "How long to wait until the sheet is in force on every instance.").Default(defaultWaitTimeout.String()).DurationVar(&command.waitTimeout)
	command.addPlatformFlags(load)
	load.Action(command.asAction(command.loadSheet))

	status := sheet.Command("status", "Print on how many instances the loaded sheet is in force and which are missing.")
	command.addPlatformFlags(status)
	status.Action(command.asAction(command.printSheetStatus))
}

func (command *command) addCalendarCommands(application *kingpin.Application) {
	calendar := application.Command("calendar", "Check and load rehearsal calendars.")
	check := calendar.Command("check", "Check a calendar against a sheet.")
	check.Arg("file", "Calendar as CSV.").Required().StringVar(&command.file)
	check.Flag("sheet", "Sheet as CSV.").Required().StringVar(&command.sheetFile)
	check.Action(command.asAction(command.checkCalendar))

	load := calendar.Command("load", "Check a calendar against the sheet loaded in the platform and load it.")
	load.Arg("file", "Calendar as CSV.").Required().StringVar(&command.file)
	command.addPlatformFlags(load)
	load.Action(command.asAction(command.loadCalendar))
}

func (command *command) addPlatformFlags(clause *kingpin.CmdClause) {
	clause.Flag("platform", "URL of the platform's object API.").Envar("PIMENTOWIND_PLATFORM").Required().StringVar(&command.platform.url)
	clause.Flag("token", "Token that authorizes requests to the platform.").Envar("PIMENTOWIND_TOKEN").StringVar(&command.platform.token)
	clause.Flag("timeout", "Timeout of one request to the platform.").Default("2s").DurationVar(&command.platform.timeout)
	clause.Flag("operator", "Operator recorded with the load; defaults to the name of the current user.").StringVar(&command.platform.operator)
}

// newLoader returns a loader for the platform given on the command line and a function
// that releases its connections.
func (command *command) newLoader() (*loader.Loader, func()) {
	operator := command.platform.operator
	if current, err := user.Current(); operator == "" && err == nil {
		operator = current.Username
	}
	store, cleanup := storer.NewStorer(command.platform.url, command.platform.token, command.platform.timeout)
	return loader.NewLoader(store, operator), cleanup
}

// isConflict reports whether a load failed because another operator loaded a newer version first.
func isConflict(err error) bool {
	var conflictError *loader.ConflictError
	return errors.As(err, &conflictError)
}

func readSheet(file string) (*parser.Sheet, error) {
	var sheet *parser.Sheet
	err := withFile(file, func(input io.Reader) (err error) {
		sheet, err = parser.ParseSheet(file, input)
		return err
	})
	return sheet, err
}

func (command *command) checkSheet() error {
	sheet, err := readSheet(command.file)
	if err != nil {
		return err
	}
	serverCount := 0
	for _, service := range sheet.Services {
		serverCount += len(service.BackendServers)
	}
	fmt.Fprintf(command.output, "%s: %d services with %d backend servers, no findings\n", command.file, len(sheet.Services), serverCount)
	return nil
}

func (command *command) loadSheet() error {
	sheet, err := readSheet(command.file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.context, command.waitTimeout)
	defer cancel()
	loader, cleanup := command.newLoader()
	defer cleanup()
	started := time.Now()
	version, err := loader.LoadSheet(ctx, sheet)
	if err != nil {
		return err
	}
	progress, err := loader.Wait(ctx, version)
	fmt.Fprintf(command.output, "%s, %.1f s after loading\n", progress, time.Since(started).Seconds())
	if err != nil {
		return errors.Wrapf(errNotInForce, "sheet version %d", version)
	}
	return nil
}

func (command *command) printSheetStatus() error {
	ctx, cancel := context.WithTimeout(command.context, defaultWaitTimeout)
	defer cancel()
	loader, cleanup := command.newLoader()
	defer cleanup()
	version, document, err := loader.CurrentSheet(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		fmt.Fprintln(command.output, "no sheet is loaded")
		return nil
	}
	progress, err := loader.Progress(ctx, version)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s; loaded by %q at %s\n", progress, document.LoadedBy, document.LoadedAt.Format(time.RFC3339))
	if !progress.Complete() {
		return errors.Wrapf(errNotInForce, "sheet version %d", version)
	}
	return nil
}

func (command *command) readCalendar(sheet *parser.Sheet) (*parser.Calendar, error) {
	var calendar *parser.Calendar
	err := withFile(command.file, func(input io.Reader) (err error) {
		calendar, err = parser.ParseCalendar(command.file, input, sheet)
		return err
	})
	return calendar, err
}

func (command *command) checkCalendar() error {
	sheet, err := readSheet(command.sheetFile)
	if err != nil {
		return err
	}
	calendar, err := command.readCalendar(sheet)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "%s: %d rehearsals, no findings\n", command.file, len(calendar.Rehearsals))
	return nil
}

func (command *command) loadCalendar() error {
	ctx, cancel := context.WithTimeout(command.context, defaultWaitTimeout)
	defer cancel()
	loader, cleanup := command.newLoader()
	defer cleanup()
	sheetVersion, document, err := loader.CurrentSheet(ctx)
	if err != nil {
		return err
	}
	calendar, err := command.readCalendar(&document.Sheet)
	if err != nil {
		return err
	}
	version, err := loader.LoadCalendar(ctx, calendar)
	if err != nil {
		return err
	}
	summary, err := json.Marshal(map[string]uint64{"calendar_version": version, "sheet_version": sheetVersion})
	if err != nil {
		return err
	}
	fmt.Fprintf(command.output, "calendar loaded: %s\n", summary)
	return nil
}
