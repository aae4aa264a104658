// Command capacity measures how the needs of a fleet grow with its size, and prints the
// tables of docs/CAPACITY.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/internal/sizer"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "capacity: %v\n", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	application := kingpin.New("capacity", "Measure slopes, or print the tables computed from measured slopes.")
	measureCommand := application.Command("measure", "Measure the slopes and write them to a file.")
	file := application.Flag("slopes", "File with the measured slopes.").Default("docs/slopes.json").String()
	application.Command("table", "Print the tables of docs/CAPACITY.md.")
	selectedCommand, err := application.Parse(arguments)
	if err != nil {
		return err
	}
	if selectedCommand == measureCommand.FullCommand() {
		slopes := sizer.Measure()
		processes, err := sizer.MeasureProcesses(context.Background(), ".")
		if err != nil {
			return err
		}
		slopes.Slopes = append(slopes.Slopes, processes...)
		return writeSlopes(*file, slopes)
	}
	content, err := os.ReadFile(*file)
	if err != nil {
		return errors.Wrap(err, "read slopes")
	}
	tables, err := sizer.Tables(content)
	if err != nil {
		return err
	}
	fmt.Print(tables)
	return nil
}

func writeSlopes(file string, slopes sizer.Slopes) error {
	content, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	if err := os.WriteFile(file, append(content, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write slopes")
	}
	return nil
}
