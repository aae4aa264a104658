package sizer

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/internal/rehearser"
)

const (
	processIdle  = 12 * time.Second
	processLimit = 3 * time.Minute
)

// MeasureProcesses takes the slopes that need real processes: bytes on the wire
// between idle instances and calls of the platform.
func MeasureProcesses(ctx context.Context, root string) ([]Slope, error) {
	ctx, cancel := context.WithTimeout(ctx, processLimit)
	defer cancel()
	binaries, err := os.MkdirTemp("", "pimentowind")
	if err != nil {
		return nil, errors.Wrap(err, "temporary directory")
	}
	defer os.RemoveAll(binaries)
	if err := rehearser.Build(ctx, root, binaries); err != nil {
		return nil, err
	}
	var wire, calls, memory []Point
	for _, size := range []int{3, 6, 12, 24} {
		measured, err := idleProcesses(ctx, binaries, size)
		if err != nil {
			return nil, err
		}
		wire = append(wire, Point{Size: float64(size), Value: measured.wire})
		calls = append(calls, Point{Size: float64(size), Value: measured.calls})
		memory = append(memory, Point{Size: float64(size), Value: measured.resident})
	}
	return []Slope{
		FitLine("wire_bytes", "bytes a second and instance that idle processes send over QUIC", "instances", wire),
		FitLine("platform_calls", "calls a second of the platform by idle processes", "instances", calls),
		FitLine("resident", "bytes of resident memory of an idle process", "instances", memory),
	}, nil
}

type processMeasures struct{ wire, calls, resident float64 }

func idleProcesses(ctx context.Context, binaries string, size int) (processMeasures, error) {
	var measures processMeasures
	directory := filepath.Join(binaries, fmt.Sprint(size))
	if err := os.Mkdir(directory, 0o700); err != nil {
		return measures, errors.Wrap(err, "directory")
	}
	fleet, cleanup, err := rehearser.NewFleet(ctx, directory, binaries)
	if err != nil {
		return measures, err
	}
	defer cleanup()
	names, err := fleet.StartIdle(ctx, size)
	if err != nil {
		return measures, err
	}
	sentBefore, callsBefore, err := counts(fleet, names)
	if err != nil {
		return measures, err
	}
	time.Sleep(processIdle)
	sentAfter, callsAfter, err := counts(fleet, names)
	if err != nil {
		return measures, err
	}
	measures.wire = float64(sentAfter-sentBefore) / float64(size) / processIdle.Seconds()
	measures.calls = float64(callsAfter-callsBefore) / processIdle.Seconds()
	measures.resident, err = fleet.Resident(names[0])
	return measures, err
}

func counts(fleet *rehearser.Fleet, names []string) (sent uint64, calls int, err error) {
	for _, name := range names {
		vars, err := fleet.Vars(name)
		if err != nil {
			return 0, 0, err
		}
		sent += vars["messages"]["sent_bytes"]
	}
	calls, err = fleet.PlatformCalls()
	return sent, calls, err
}
