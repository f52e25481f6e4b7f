// Package membership decides where a key is at home, which daemons are alive
// and which of them should campaign for the ownership of a data centre.
package membership

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"catkinvalve/internal/core/model"
)

// prefixSeparator ends the data centre prefix of a key.
const prefixSeparator = ":"

// Home returns the home data centre of a key. A key that starts with the name
// of a data centre and a colon is at home there; others are assigned by
// rendezvous hash, so that adding a data centre moves only the keys that the
// new one takes. It returns "" when no data centre is configured.
func Home(key string, dataCentres []model.DataCentre) model.DataCentre {
	if prefix, _, ok := strings.Cut(key, prefixSeparator); ok {
		for _, dc := range dataCentres {
			if string(dc) == prefix {
				return dc
			}
		}
	}
	var best model.DataCentre
	var bestHash uint64
	for _, dc := range dataCentres {
		h := rendezvousHash(key, string(dc))
		if best == "" || h > bestHash || (h == bestHash && dc < best) {
			best, bestHash = dc, h
		}
	}
	return best
}

func rendezvousHash(key, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
