// Package membership decides which data centre is the home of a key, which
// daemons are alive and which daemon of a data centre should campaign for its
// ownership.
package membership

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"catkinvalve/internal/core/model"
)

// prefixSeparator ends the data centre prefix of a key.
const prefixSeparator = ":"

// Home returns the home data centre of a key. A key that starts with the name
// of a data centre and a colon belongs to that data centre; other keys are
// assigned by rendezvous hashing, so that a new data centre moves only the keys
// that are assigned to it. It returns "" if dataCentres is empty.
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

// rendezvousHash returns the weight of a data centre for a key; the data centre
// with the highest weight is the key's home.
func rendezvousHash(key, dataCentre string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(dataCentre)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
