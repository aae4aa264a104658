package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/decider"
)

// Progress holds on how many of the listed instances a sheet version is in force.
type Progress struct {
	Version uint64   `json:"version"`
	Listed  int      `json:"listed"`
	InForce int      `json:"in_force"`
	Missing []string `json:"missing"` // name of each other instance and the reason
}

// Complete reports whether the version is in force on every listed instance.
func (progress Progress) Complete() bool { return progress.Listed > 0 && len(progress.Missing) == 0 }

// String returns one line for operators.
func (progress Progress) String() string {
	line := fmt.Sprintf("version %d in force on %d of %d instances", progress.Version, progress.InForce, progress.Listed)
	if len(progress.Missing) > 0 {
		line += "; missing: " + strings.Join(progress.Missing, ", ")
	}
	return line
}

// Progress reads the list of instances and the statuses of their failure domains from
// the store and returns how far a sheet version is in force.
func (loader *Loader) Progress(ctx context.Context, version uint64) (Progress, error) {
	var list InstanceList
	object, err := loader.get(ctx, InstancesObject)
	if err != nil {
		return Progress{}, err
	}
	if object.Version > 0 {
		if err := json.Unmarshal(object.Value, &list); err != nil {
			return Progress{}, errors.Wrap(err, "decode list of instances")
		}
	}
	statuses, err := loader.statuses(ctx, list.Instances)
	if err != nil {
		return Progress{}, err
	}
	progress := Progress{Version: version, Listed: len(list.Instances)}
	for _, instance := range list.Instances {
		reason := missingReason(statuses, instance.Name, version)
		if reason == "" {
			progress.InForce++
			continue
		}
		progress.Missing = append(progress.Missing, fmt.Sprintf("%s (%s)", instance.Name, reason))
	}
	return progress, nil
}

// missingReason returns why a version is not known to be in force on an instance, or an
// empty string if it is in force.
func missingReason(statuses map[string]InstanceStatus, name string, version uint64) string {
	status, ok := statuses[name]
	switch {
	case !ok:
		return "no status"
	case !status.Alive:
		return "unreachable"
	case status.InForce < version:
		return fmt.Sprintf("at version %d", status.InForce)
	default:
		return ""
	}
}

// statuses returns the status of every instance in the failure domains of instances, by name.
func (loader *Loader) statuses(ctx context.Context, instances []decider.Instance) (map[string]InstanceStatus, error) {
	var domains []string
	for _, instance := range instances {
		if !slices.Contains(domains, instance.FailureDomain) {
			domains = append(domains, instance.FailureDomain)
		}
	}
	statuses := map[string]InstanceStatus{}
	for _, domain := range domains {
		object, err := loader.get(ctx, StatusObject(domain))
		if err != nil {
			return nil, err
		}
		var status DomainStatus
		if object.Version == 0 {
			continue
		}
		if err := json.Unmarshal(object.Value, &status); err != nil {
			return nil, errors.Wrapf(err, "decode status of failure domain %q", domain)
		}
		for _, instance := range status.Instances {
			statuses[instance.Name] = instance
		}
	}
	return statuses, nil
}

// Wait polls until the version is in force on every listed instance or ctx ends, and
// returns the last progress read. Errors of single reads are ignored.
func (loader *Loader) Wait(ctx context.Context, version uint64) (Progress, error) {
	last := Progress{Version: version}
	for {
		progress, err := loader.Progress(ctx, version)
		if err == nil {
			last = progress
		}
		if err == nil && progress.Complete() {
			return progress, nil
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return last, ctx.Err()
		case <-timer.C:
		}
	}
}
