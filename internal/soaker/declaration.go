package soaker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/logger"
)

const (
	// livingTime is how long a backend server has to have answered for a declaration of its silence
	// to be one of a living server.
	livingTime = time.Second
	// foundLimit is from which length on a silence has to be found.
	foundLimit = 3 * time.Second
)

// span is a time.
type span struct{ from, to time.Time }

// declaration is a line of an instance's log: a backend server is declared silent.
type declaration struct {
	Event  int       `json:"event"`
	At     time.Time `json:"ts"`
	Server string    `json:"backend_server"`
	From   string    `json:"from"`
	domain string    // of the instance
}

// checkDeclarations checks in the logs that no living server was declared silent, and measures how
// soon silent ones were.
func (soak *soak) checkDeclarations() {
	declarations := soak.readDeclarations()
	for _, declaration := range declarations {
		if server := soak.servers[declaration.Server]; server != nil && !server.wasSilent(declaration.At) {
			soak.recordViolation("server %s was declared silent in %s at %s while it answered, by %s", server.name, declaration.domain, declaration.At.Format("15:04:05.000"), declaration.From)
		}
	}
	for _, server := range soak.sortedServers() {
		for _, silence := range server.silences {
			soak.measureSilence(server, silence, declarations)
		}
	}
}

// measureSilence notes how long after its start a silence was found in the server's failure domain, unless
// it was short or came soon after another one.
func (soak *soak) measureSilence(server *server, silence span, declarations []declaration) {
	isShort := silence.to.Sub(silence.from) < foundLimit || time.Since(silence.from) < foundLimit
	isSecond := slices.ContainsFunc(server.silences, func(earlier span) bool {
		return earlier.from.Before(silence.from) && silence.from.Before(earlier.to.Add(stabilizationTime))
	})
	if isShort || isSecond || !server.leavingAt.IsZero() {
		return
	}
	found := slices.IndexFunc(declarations, func(declaration declaration) bool {
		age := declaration.At.Sub(silence.from)
		return declaration.Server == server.name && declaration.domain == server.failureDomain() && age > 0 && age <= foundLimit
	})
	if found < 0 {
		soak.report.NotFound++
		return
	}
	soak.report.Found = append(soak.report.Found, declarations[found].At.Sub(silence.from))
}

// wasSilent reports whether the server did not answer at some time within livingTime before a time.
func (server *server) wasSilent(at time.Time) bool {
	return slices.ContainsFunc(server.silences, func(silence span) bool {
		return at.After(silence.from) && at.Before(silence.to.Add(livingTime))
	})
}

// readDeclarations returns the declarations of all instances, in the order of their times.
func (soak *soak) readDeclarations() []declaration {
	var declarations []declaration
	for _, instance := range soak.instances {
		content, err := os.ReadFile(instance.filePath("log"))
		if err != nil {
			soak.recordViolation("read the log of %s: %v", instance.name, err)
		}
		for line := range bytes.Lines(content) {
			found := declaration{domain: instance.failureDomain}
			if json.Unmarshal(line, &found) == nil && found.Event == int(logger.EventServerSilent) {
				declarations = append(declarations, found)
			}
		}
	}
	slices.SortStableFunc(declarations, func(a, b declaration) int { return a.At.Compare(b.At) })
	return declarations
}

// Silences returns a line about how soon silent servers were declared so, empty if there were none.
func (report *Report) Silences() string {
	found := slices.Sorted(slices.Values(report.Found))
	if len(found)+report.NotFound == 0 {
		return ""
	}
	line := fmt.Sprintf("silences found %d, not found %d", len(found), report.NotFound)
	if len(found) > 0 {
		line += fmt.Sprintf(", after %s (middle), %s (longest)", found[len(found)/2].Round(time.Millisecond), found[len(found)-1].Round(time.Millisecond))
	}
	return line
}
