package logger

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/decider"
)

func TestEventsPageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	for kind, text := range Texts() {
		row := fmt.Sprintf("| %d | %s |", kind, text)
		assert.Assert(t, strings.Contains(string(page), row), "docs/EVENTS.md has no row %q", row)
	}
	assert.Equal(t, strings.Count(string(page), "\n| "), len(Texts())+1)
}

func TestEventIsWrittenInEachFormat(t *testing.T) {
	for format, want := range map[string]string{
		"json": `"msg":"sheet accepted","event":305,"version":7`,
		"text": `"msg"="sheet accepted" "event"=305 "version"=7`,
	} {
		var output bytes.Buffer
		Event(New(&output, format, 0), decider.EventSheetAccepted, "version", 7)
		assert.Assert(t, strings.Contains(output.String(), want), output.String())
	}
}
