package sizer

import (
	"testing"
	"time"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/picker"
)

// nanosecondsPerCall returns the mean time of one call of step.
func nanosecondsPerCall(step func(number int)) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			step(i)
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

func measurePicks() []Point {
	var points []Point
	for _, count := range []int{4, 15, 60, 240} {
		candidates := make([]picker.Candidate, count)
		for i := range candidates {
			candidates[i] = picker.Candidate{ID: picker.Hash(uint64(i), 1), Weight: float64(1 + i%8)}
		}
		value := nanosecondsPerCall(func(number int) { picker.Pick(uint64(number), candidates) })
		points = append(points, Point{Size: float64(count), Value: value})
	}
	return points
}

// distinctOpenings is the number of flows that measureOpenings opens, small enough for the flow
// table to stay in the processor's cache.
const distinctOpenings = 4096

// measureOpenings measures the time of an opening at an instance in fleets of several sizes.
func measureOpenings() []Point {
	var points []Point
	for _, size := range []int{3, 9, 30, 90} {
		fleet := newFleet(size)
		fleet.updateInstanceLists()
		content := sheetContent(1, 15, 0)
		for _, name := range fleet.names {
			fleet.deciders[name].ApplySheet(fleet.now, 1, content)
		}
		fleet.run(warmupTime)
		instance := fleet.deciders[fleet.names[0]]
		value := nanosecondsPerCall(func(number int) {
			packet := openingPacket(number % distinctOpenings)
			instance.HandlePacket(fleet.now, &packet)
		})
		points = append(points, Point{Size: float64(size), Value: value})
	}
	return points
}

func measureKnownFlows() []Point {
	var points []Point
	for _, flows := range []int{10_000, 50_000, 200_000, 500_000} {
		instance := newSingleDecider(sheetContent(1, 15, 0))
		now := startTime.Add(warmupTime)
		for number := range flows {
			packet := openingPacket(number)
			instance.HandlePacket(now, &packet)
		}
		value := nanosecondsPerCall(func(number int) {
			packet := openingPacket(number * 7919 % flows)
			packet.Flags, packet.PayloadLength = framer.FlagACK, 100
			instance.HandlePacket(now.Add(time.Millisecond), &packet)
		})
		points = append(points, Point{Size: float64(flows), Value: value})
	}
	return points
}
