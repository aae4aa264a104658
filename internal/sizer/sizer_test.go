package sizer

import (
	"math"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitLineFindsExactLine(t *testing.T) {
	slope := FitLine("x", "", "", []Point{{1, 5}, {2, 7}, {4, 11}})
	assert.Assert(t, math.Abs(slope.Gradient-2) < 1e-9 && math.Abs(slope.Intercept-3) < 1e-9)
	assert.Assert(t, math.Abs(slope.ValueAt(100)-203) < 1e-9)
	assert.Equal(t, slope.ExtrapolationFactor(8), 2.0)
}

func TestCapacityPageMatchesSlopesFile(t *testing.T) {
	content, err := os.ReadFile("../../docs/slopes.json")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	tables, err := Tables(content)
	assert.NilError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(tables), "\n") {
		assert.Assert(t, strings.Contains(string(page), line), "docs/CAPACITY.md lacks the line\n%s\nrun: go run ./cmd/capacity table", line)
	}
}

func TestTablesNamesMissingSlope(t *testing.T) {
	_, err := Tables([]byte(`{"slopes": []}`))
	assert.ErrorContains(t, err, `does not exist in the slopes file`)
}
