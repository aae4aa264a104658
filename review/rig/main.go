package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// logTime is how long an instance may hold lines of its log back.
const logTime = 500 * time.Millisecond

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER TROUBLE, where TROUBLE is 0 for a run without the disruption")
		os.Exit(exitFailed)
	}
	code, err := run(os.Args[1], os.Args[2], os.Args[3] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(code)
}

// run plays a case and writes the record into folder.
func run(name, folder string, isTroubled bool) (code int, err error) {
	play, ok := plays[name]
	if !ok {
		return exitFailed, errors.Errorf("no case %q", name)
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitFailed, err
	}
	defer func() {
		if closeErr := record.close(); closeErr != nil {
			code, err = exitFailed, closeErr
		}
	}()
	temporary, err := os.MkdirTemp("", "rig")
	if err != nil {
		return exitFailed, err
	}
	defer os.RemoveAll(temporary)
	deployment := &deployment{record: record, store: newStore(), done: make(chan struct{}), shape: usualShape}
	if name == "short-freeze" || name == "loss" {
		deployment.shape = shape{deskServers: busyServers, work: longWork, isOneZone: true, spares: sparesOf[name]}
	}
	defer deployment.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		deployment.stop()
		os.RemoveAll(temporary)
		os.Exit(exitFailed)
	}()
	if err := deployment.start(temporary); err != nil {
		return exitFailed, err
	}
	record.line("all instances are ready, trouble=%t", isTroubled)
	play(deployment, isTroubled)
	if err := deployment.checkProcesses(); err != nil {
		return exitFailed, err
	}
	time.Sleep(logTime)
	for _, instance := range deployment.instances {
		for _, line := range instance.declaredSilent(temporary) {
			record.line("log of %s: %s", instance.name, line)
		}
	}
	return deployment.judge(), nil
}

// judge records the result and returns the exit code.
func (deployment *deployment) judge() int {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	summary := fmt.Sprintf("%d requests, %d answered with success, %d runs, %d violations", deployment.requests, deployment.answered, len(deployment.runs), len(deployment.violations))
	deployment.record.line("%s", summary)
	fmt.Println(summary)
	for i, violation := range deployment.violations {
		deployment.record.line("%s", violation)
		if i < 3 {
			fmt.Println(violation)
		}
	}
	switch {
	case len(deployment.violations) > 0:
		return exitBroken
	case 2*deployment.answered < deployment.requests:
		return exitFailed // nothing was shown
	default:
		return exitHeld
	}
}
