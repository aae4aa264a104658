package viewer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

func (backendServer *BackendServer) writeDigest(digest *xxhash.Digest) {
	writeString(digest, backendServer.Name)
	writeString(digest, backendServer.Service)
	writeString(digest, backendServer.Address.String())
	writeString(digest, backendServer.FailureDomain)
	writeString(digest, string(backendServer.State))
	writeUint64(digest, uint64(backendServer.Slots))
	writeUint64(digest, uint64(backendServer.StartedAt))
	writeUint64(digest, backendServer.ColdSince)
	for _, sharer := range backendServer.Sharers {
		writeUint64(digest, uint64(sharer))
	}
}

// writeString prefixes text with its length, so that adjacent strings cannot be confused.
func writeString(digest *xxhash.Digest, text string) {
	writeUint64(digest, uint64(len(text)))
	digest.WriteString(text)
}

func writeUint64(digest *xxhash.Digest, number uint64) {
	var word [8]byte
	binary.LittleEndian.PutUint64(word[:], number)
	digest.Write(word[:])
}
