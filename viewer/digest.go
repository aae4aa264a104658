package viewer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

func (backendServer *BackendServer) addTo(digest *xxhash.Digest) {
	addString(digest, backendServer.Name)
	addString(digest, backendServer.Service)
	addString(digest, backendServer.Address.String())
	addString(digest, backendServer.FailureDomain)
	addString(digest, string(backendServer.State))
	addNumber(digest, uint64(backendServer.Slots))
	addNumber(digest, uint64(backendServer.StartedAt))
}

// addString writes the length too, so that neighbours cannot run together.
func addString(digest *xxhash.Digest, text string) {
	addNumber(digest, uint64(len(text)))
	digest.WriteString(text)
}

func addNumber(digest *xxhash.Digest, number uint64) {
	var word [8]byte
	binary.LittleEndian.PutUint64(word[:], number)
	digest.Write(word[:])
}
