package parser

import (
	"fmt"
	"io"
	"time"
)

var calendarColumns = []string{"start", "duration", "target_kind", "target", "action"}

const maxRehearsal = 24 * time.Hour

// minRemainingShare is the share of a service's weight that must stay in service during rehearsals.
const minRemainingShare = 0.5

// ParseCalendar reads a rehearsal calendar and checks it against the sheet; it returns Findings when anything is wrong.
func ParseCalendar(file string, input io.Reader, sheet *Sheet) (*Calendar, error) {
	reader := &reader{file: file}
	rows := reader.rows(input, calendarColumns)
	if len(reader.findings) > 0 {
		return nil, reader.err()
	}
	calendar := &Calendar{}
	for _, row := range rows {
		calendar.Rehearsals = append(calendar.Rehearsals, reader.rehearsal(row, sheet))
	}
	for _, finding := range CheckCapacity(sheet, calendar) {
		finding.File = file
		reader.findings = append(reader.findings, finding)
	}
	if err := reader.err(); err != nil {
		return nil, err
	}
	return calendar, nil
}

func (reader *reader) rehearsal(row row, sheet *Sheet) Rehearsal {
	start, err := time.Parse(time.RFC3339, row.fields["start"])
	if err != nil {
		reader.add(row, "start", "%q is not a time as in RFC 3339, such as 2026-12-04T09:30:00Z", row.fields["start"])
	}
	duration, err := time.ParseDuration(row.fields["duration"])
	if err != nil || duration <= 0 || duration > maxRehearsal {
		reader.add(row, "duration", "%q is not a duration above 0 and up to %v", row.fields["duration"], maxRehearsal)
	}
	kinds := []string{string(TargetInstance), string(TargetBackendServer), string(TargetFailureDomain)}
	rehearsal := Rehearsal{
		Start:      start,
		Duration:   duration,
		TargetKind: TargetKind(reader.oneOf(row, "target_kind", kinds...)),
		Target:     row.fields["target"],
		Action:     Action(reader.oneOf(row, "action", string(Drain), string(Fail))),
		row:        row.number,
	}
	if !sheet.hasTarget(rehearsal) {
		reader.add(row, "target", "%s %q does not exist in the sheet", rehearsal.TargetKind, rehearsal.Target)
	}
	return rehearsal
}

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
		// The sheet names only the instances that leave or join; any other may be rehearsed too.
		return rehearsal.Target != ""
	}
}

// CheckCapacity returns a finding for each rehearsal at whose start too little of a service would stay in service.
func CheckCapacity(sheet *Sheet, calendar *Calendar) Findings {
	var findings Findings
	for _, rehearsal := range calendar.Rehearsals {
		for _, service := range sheet.Services {
			share := remainingShare(service, calendar, rehearsal.Start)
			if share < minRemainingShare {
				findings = append(findings, Finding{
					Row:     rehearsal.row,
					Column:  "target",
					Message: collisionMessage(service.Name, share),
				})
			}
		}
	}
	return findings
}

func remainingShare(service Service, calendar *Calendar, at time.Time) float64 {
	total, remaining := 0.0, 0.0
	for _, server := range service.BackendServers {
		total += server.Weight
		if server.State == Active && !calendar.affects(server, at) {
			remaining += server.Weight
		}
	}
	if total == 0 {
		return 0
	}
	return remaining / total
}

func (calendar *Calendar) affects(server BackendServer, at time.Time) bool {
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

func collisionMessage(service string, share float64) string {
	return fmt.Sprintf("service %q keeps %.0f%% of its weight during this rehearsal, at least %.0f%% is needed",
		service, share*100, minRemainingShare*100)
}
