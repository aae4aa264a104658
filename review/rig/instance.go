package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// start starts the process of an instance in the root of the repository, with the settings
// that the deploy file's template yields.
func (instance *instance) start(folder string) error {
	settings, err := json.MarshalIndent(instance.settings(), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(folder, instance.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(folder, instance.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	instance.command = exec.Command("target/pimentowind", "serve")
	instance.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PIMENTOWIND_BOOT=" + file}
	instance.command.Stdout, instance.command.Stderr = log, log
	if err := instance.command.Start(); err != nil {
		return err
	}
	instance.ended = make(chan struct{})
	go func() {
		instance.command.Wait()
		close(instance.ended)
	}()
	return nil
}

// declaredSilent returns the lines of the instance's log about backend servers that it declared silent.
func (instance *instance) declaredSilent(folder string) []string {
	log, err := os.ReadFile(filepath.Join(folder, instance.name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, "backend server declared silent") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// stop ends the process.
func (instance *instance) stop() {
	if instance.command == nil || instance.command.Process == nil {
		return
	}
	instance.command.Process.Signal(syscall.SIGKILL)
	<-instance.ended
}

// hasEnded reports whether the process has ended by itself.
func (instance *instance) hasEnded() bool {
	select {
	case <-instance.ended:
		return true
	case <-time.After(0):
		return false
	}
}
