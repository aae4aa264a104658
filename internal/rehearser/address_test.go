package rehearser

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFreeAddressesAreBelowTheEphemeralRangeAndDistinct(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 200 {
		address := FreeAddress()
		assert.Assert(t, !seen[address])
		assert.Assert(t, address.Port() >= firstPort && address.Port() <= lastPort)
		seen[address] = true
	}
}
