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
	idleProcessTime = 12 * time.Second
	processTimeout  = 3 * time.Minute
)

// MeasureProcesses measures the slopes that need real processes: bytes on the wire
// between idle instances, calls to the platform and resident memory. It builds the
// programs from the module at root.
func MeasureProcesses(ctx context.Context, root string) ([]Slope, error) {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	binaries, err := os.MkdirTemp("", "pimentowind")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary directory")
	}
	defer os.RemoveAll(binaries)
	if err := rehearser.Build(ctx, root, binaries); err != nil {
		return nil, err
	}
	var sentBytes, platformCalls, memory []Point
	for _, size := range []int{3, 6, 12, 24} {
		measurement, err := measureIdleProcesses(ctx, binaries, size)
		if err != nil {
			return nil, err
		}
		sentBytes = append(sentBytes, Point{Size: float64(size), Value: measurement.sentBytes})
		platformCalls = append(platformCalls, Point{Size: float64(size), Value: measurement.platformCalls})
		memory = append(memory, Point{Size: float64(size), Value: measurement.residentBytes})
	}
	return []Slope{
		FitLine("wire_bytes", "bytes a second and instance that idle processes send over QUIC", "instances", sentBytes),
		FitLine("platform_calls", "calls a second of the platform by idle processes", "instances", platformCalls),
		FitLine("resident", "bytes of resident memory of an idle process", "instances", memory),
	}, nil
}

type processMeasurement struct{ sentBytes, platformCalls, residentBytes float64 }

func measureIdleProcesses(ctx context.Context, binaries string, size int) (processMeasurement, error) {
	var measurement processMeasurement
	directory := filepath.Join(binaries, fmt.Sprint(size))
	if err := os.Mkdir(directory, 0o700); err != nil {
		return measurement, errors.Wrap(err, "create directory")
	}
	fleet, cleanup, err := rehearser.NewFleet(ctx, directory, binaries)
	if err != nil {
		return measurement, err
	}
	defer cleanup()
	names, err := fleet.StartIdleInstances(ctx, size)
	if err != nil {
		return measurement, err
	}
	sentBefore, callsBefore, err := readCounters(fleet, names)
	if err != nil {
		return measurement, err
	}
	time.Sleep(idleProcessTime)
	sentAfter, callsAfter, err := readCounters(fleet, names)
	if err != nil {
		return measurement, err
	}
	measurement.sentBytes = float64(sentAfter-sentBefore) / float64(size) / idleProcessTime.Seconds()
	measurement.platformCalls = float64(callsAfter-callsBefore) / idleProcessTime.Seconds()
	measurement.residentBytes, err = fleet.ResidentMemory(names[0])
	return measurement, err
}

// readCounters returns the bytes that the instances have sent so far and the calls that the
// platform has received.
func readCounters(fleet *rehearser.Fleet, names []string) (sentBytes uint64, platformCalls int, err error) {
	for _, name := range names {
		vars, err := fleet.Vars(name)
		if err != nil {
			return 0, 0, err
		}
		sentBytes += vars["messages"]["sent_bytes"]
	}
	platformCalls, err = fleet.PlatformCalls()
	return sentBytes, platformCalls, err
}
