package parser

import (
	"fmt"
	"io"
	"time"
)

var calendarColumns = []string{"start", "duration", "target_kind", "target", "action"}

const maxRehearsalDuration = 24 * time.Hour

// minRemainingCapacity is the fraction of a service's total weight that must stay in service during rehearsals.
const minRemainingCapacity = 0.5

// ParseCalendar parses a rehearsal calendar and validates it against the sheet. The
// error is of type Findings; file is the name that the findings show.
func ParseCalendar(file string, input io.Reader, sheet *Sheet) (*Calendar, error) {
	reader := &tableReader{file: file}
	rows := reader.readRows(input, calendarColumns)
	if len(reader.findings) > 0 {
		return nil, reader.findingsError()
	}
	calendar := &Calendar{}
	for _, row := range rows {
		calendar.Rehearsals = append(calendar.Rehearsals, reader.parseRehearsal(row, sheet))
	}
	for _, finding := range CheckCapacity(sheet, calendar) {
		finding.File = file
		reader.findings = append(reader.findings, finding)
	}
	if err := reader.findingsError(); err != nil {
		return nil, err
	}
	return calendar, nil
}

func (tableReader *tableReader) parseRehearsal(row row, sheet *Sheet) Rehearsal {
	start, err := time.Parse(time.RFC3339, row.fields["start"])
	if err != nil {
		tableReader.addFinding(row, "start", "%q is not an RFC 3339 time such as 2026-12-04T09:30:00Z", row.fields["start"])
	}
	duration, err := time.ParseDuration(row.fields["duration"])
	if err != nil || duration <= 0 || duration > maxRehearsalDuration {
		tableReader.addFinding(row, "duration", "%q is not a duration above 0 and at most %v", row.fields["duration"], maxRehearsalDuration)
	}
	kinds := []string{string(TargetInstance), string(TargetBackendServer), string(TargetFailureDomain)}
	rehearsal := Rehearsal{
		Start:      start,
		Duration:   duration,
		TargetKind: TargetKind(tableReader.parseChoice(row, "target_kind", kinds...)),
		Target:     row.fields["target"],
		Action:     Action(tableReader.parseChoice(row, "action", string(Drain), string(Fail))),
		row:        row.number,
	}
	if !sheet.hasTarget(rehearsal) {
		tableReader.addFinding(row, "target", "%s %q does not exist in the sheet", rehearsal.TargetKind, rehearsal.Target)
	}
	return rehearsal
}

// hasTarget reports whether the target of a rehearsal exists in the sheet.
func (sheet *Sheet) hasTarget(rehearsal Rehearsal) bool {
	switch rehearsal.TargetKind {
	case TargetBackendServer:
		for _, service := range sheet.Services {
			for _, server := range service.BackendServers {
				if server.Name == rehearsal.Target {
					return true
				}
			}
		}
		return false
	case TargetFailureDomain:
		for _, name := range sheet.FailureDomains {
			if name == rehearsal.Target {
				return true
			}
		}
		return false
	default:
		// The sheet lists only the instances that join or leave, but every instance
		// can be the target of a rehearsal.
		return rehearsal.Target != ""
	}
}

// CheckCapacity returns a finding for each rehearsal and service for which, at the start
// of the rehearsal, less than minRemainingCapacity of the service's weight would stay
// in service.
func CheckCapacity(sheet *Sheet, calendar *Calendar) Findings {
	var findings Findings
	for _, rehearsal := range calendar.Rehearsals {
		for _, service := range sheet.Services {
			remaining := remainingCapacity(service, calendar, rehearsal.Start)
			if remaining < minRemainingCapacity {
				findings = append(findings, Finding{
					Row:     rehearsal.row,
					Column:  "target",
					Message: capacityMessage(service.Name, remaining),
				})
			}
		}
	}
	return findings
}

// remainingCapacity returns the fraction of a service's total weight that is active
// and not the target of a rehearsal at the given time.
func remainingCapacity(service Service, calendar *Calendar, at time.Time) float64 {
	total, remaining := 0.0, 0.0
	for _, server := range service.BackendServers {
		total += server.Weight
		if server.State == Active && !calendar.takesOutOfService(server, at) {
			remaining += server.Weight
		}
	}
	if total == 0 {
		return 0
	}
	return remaining / total
}

// takesOutOfService reports whether a rehearsal drains or fails the server at the given time.
func (calendar *Calendar) takesOutOfService(server BackendServer, at time.Time) bool {
	for _, rehearsal := range calendar.Rehearsals {
		if at.Before(rehearsal.Start) || !at.Before(rehearsal.End()) {
			continue
		}
		if rehearsal.TargetKind == TargetBackendServer && rehearsal.Target == server.Name {
			return true
		}
		if rehearsal.TargetKind == TargetFailureDomain && rehearsal.Target == server.FailureDomain {
			return true
		}
	}
	return false
}

func capacityMessage(service string, remaining float64) string {
	return fmt.Sprintf("service %q keeps %.0f%% of its weight during this rehearsal, at least %.0f%% is needed",
		service, remaining*100, minRemainingCapacity*100)
}
