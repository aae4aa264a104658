package parser

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func sampleSheet(t testing.TB) string {
	t.Helper()
	content, err := os.ReadFile("testdata/sheet.csv")
	assert.NilError(t, err)
	return string(content)
}

func TestParseSheetReadsEveryKindOfRow(t *testing.T) {
	sheet, err := ParseSheet("sheet.csv", strings.NewReader(sampleSheet(t)))
	assert.NilError(t, err)
	assert.DeepEqual(t, sheet.FailureDomains, []string{"dakar-1", "dakar-2"})
	assert.Equal(t, len(sheet.Service("desk-sync").BackendServers), 2)
	assert.Equal(t, sheet.Service("report-desk").Idempotent, true)
	assert.Equal(t, sheet.Instances[0].State, Joining)
}

func TestParseSheetFindings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown column", "kind,name", "kynd,name", `sheet.csv:1: kynd: unknown column "kynd"`},
		{"missing column", ",state\n", "\n", `sheet.csv:1: state: column "state" is missing`},
		{"duplicate service address", "10.1.0.2:443,tcp", "10.1.0.1:443,tcp", "sheet.csv:5: address: service address tcp 10.1.0.1:443 is already defined in row 4"},
		{"endpoint in two services", "10.2.0.3:6081", "10.2.0.1:6081", `sheet.csv:8: address: endpoint 10.2.0.1:6081 already serves service "desk-sync"`},
		{"zero weight", ",,4,2000", ",,0,2000", `sheet.csv:6: weight: "0" is not a number above 0`},
		{"weight is not a number", ",,4,2000", ",,NaN,2000", `sheet.csv:6: weight: "NaN" is not a number above 0`},
		{"infinite weight", ",,4,2000", ",,+Inf,2000", `sheet.csv:6: weight: "+Inf" is not a number above 0`},
		{"negative connections", ",,4,2000", ",,4,-1", `sheet.csv:6: connections: "-1" is not an integer above 0`},
		{"unknown failure domain", "2000,dakar-2", "2000,dakar-3", `sheet.csv:7: failure_domain: failure domain "dakar-3" does not exist in the sheet`},
		{"unknown service", "sync-1,desk-sync", "sync-1,desk-sink", `sheet.csv:6: service: service "desk-sink" does not exist in the sheet`},
		{"unknown state", "dakar-1,active", "dakar-1,asleep", `sheet.csv:6: state: "asleep" is not one of active, leaving`},
		{"unknown kind", "instance,lb-9", "machine,lb-9", `sheet.csv:9: kind: "machine" is not one of`},
		{"address without a port", "10.2.0.1:6081", "10.2.0.1", `sheet.csv:6: address: "10.2.0.1" is not an IPv4 address with a port`},
		{"IPv6 address", "10.2.0.1:6081", "[::1]:6081", `sheet.csv:6: address: "[::1]:6081" is not an IPv4 address with a port`},
		{"duplicate name", "sync-2,", "sync-1,", `sheet.csv:7: name: backend_server "sync-1" is already defined in row 6`},
		{"invalid name", "sync-2,", "Sync 2,", `sheet.csv:7: name: "Sync 2" is not a valid name`},
		{"additional field", "dakar-2,joining", "dakar-2,joining,x", "sheet.csv:9: row has 11 fields, the header has 10"},
		{"bare quote", "sync-2,", "sy\"nc,", "sheet.csv:"},
		{"value in a column that the kind does not use", "dakar-2,,,,,,,,", "dakar-2,,,,,,7,,", `sheet.csv:3: connections: must be empty in a row of kind "failure_domain"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(sampleSheet(t), c.old, c.new, 1)
			sheet, err := ParseSheet("sheet.csv", strings.NewReader(changed))
			assert.Assert(t, sheet == nil)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestParseSheetReportsAllFindingsTogether(t *testing.T) {
	changed := strings.NewReplacer("10.1.0.2:443", "nowhere", ",,4,", ",,-4,", "dakar-2,joining", "dakar-9,joining").Replace(sampleSheet(t))
	_, err := ParseSheet("sheet.csv", strings.NewReader(changed))
	findings, ok := err.(Findings)
	assert.Assert(t, ok)
	assert.Equal(t, len(findings), 3)
	assert.Assert(t, findings[0].Row < findings[1].Row && findings[1].Row < findings[2].Row)
}

func TestParseSheetRejectsSheetLargerThanPlatformLimit(t *testing.T) {
	var builder strings.Builder
	builder.WriteString(sampleSheet(t))
	for number := range 18_000 {
		fmt.Fprintf(&builder, "failure_domain,x%060d,,,,,,,,\n", number)
	}
	_, err := ParseSheet("sheet.csv", strings.NewReader(builder.String()))
	assert.ErrorContains(t, err, "the platform stores at most 1048576")
	assert.Assert(t, !strings.Contains(err.Error(), "nil"), "%v", err)
}

func TestParseCalendar(t *testing.T) {
	sheet, err := ParseSheet("sheet.csv", strings.NewReader(sampleSheet(t)))
	assert.NilError(t, err)
	const header = "start,duration,target_kind,target,action\n"
	cases := []struct{ name, rows, want string }{
		{"valid", "2026-12-04T09:00:00Z,30m,backend_server,sync-2,drain\n", ""},
		{"instance that is not in the sheet", "2026-12-04T09:00:00Z,30m,instance,lb-1,fail\n", ""},
		{"invalid start time", "9 o'clock,30m,backend_server,sync-2,drain\n", "calendar.csv:2: start"},
		{"duration too long", "2026-12-04T09:00:00Z,30h,backend_server,sync-2,drain\n", "calendar.csv:2: duration"},
		{"unknown target", "2026-12-04T09:00:00Z,30m,backend_server,sync-7,drain\n", `calendar.csv:2: target: backend_server "sync-7" does not exist in the sheet`},
		{"unknown action", "2026-12-04T09:00:00Z,30m,backend_server,sync-2,tickle\n", "calendar.csv:2: action"},
		{"too little capacity remains", "2026-12-04T09:00:00Z,30m,failure_domain,dakar-1,fail\n", `calendar.csv:2: target: service "desk-sync" keeps 33% of its weight`},
		{"overlapping rehearsals", "2026-12-04T09:00:00Z,30m,backend_server,sync-2,drain\n2026-12-04T09:10:00Z,30m,backend_server,sync-1,drain\n", `calendar.csv:3: target: service "desk-sync" keeps 0%`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseCalendar("calendar.csv", strings.NewReader(header+c.rows), sheet)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParseSheet(f *testing.F) {
	f.Add(sampleSheet(f))
	f.Fuzz(func(t *testing.T, content string) {
		sheet, err := ParseSheet("sheet.csv", strings.NewReader(content))
		assert.Assert(t, (sheet == nil) == (err != nil))
	})
}

// Guards against two backend servers that instances cannot tell from each other: the flows of both went to
// the one that an instance saw first, also if it is of another service.
func TestParseSheetRejectsServersWithTheSameID(t *testing.T) {
	content := strings.Replace(sampleSheet(t), "10.2.0.3:6081", "10.0.87.123:6081", 1)
	_, err := ParseSheet("sheet.csv", strings.NewReader(content))
	assert.NilError(t, err)
	content = strings.Replace(content, "10.2.0.1:6081", "10.0.245.123:6081", 1)
	_, err = ParseSheet("sheet.csv", strings.NewReader(content))
	assert.ErrorContains(t, err, `backend servers "sync-1" and "report-1" would have the same number: give one of them another port`)
}
