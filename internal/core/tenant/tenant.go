// Package tenant holds the client accounts of a configuration: their keys, shares and limits. It
// does no I/O and knows keys only by their digests.
package tenant

import (
	"crypto/sha256"
	"fmt"

	"catkinvalve/internal/core/model"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are random, so that a digest needs no salt.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Config is the configuration of one tenant.
type Config struct {
	Name string
	Keys []KeyDigest
	// Weight is the tenant's share relative to the other tenants, and the rate, in jobs a
	// second, up to which it is served while capacity is short.
	Weight float64
	// Limit is what the tenant may have running on all workers; 0 in a dimension is no limit.
	Limit model.Size
}

// Set is the tenants of one configuration. It is immutable.
type Set struct {
	// Tenants lists the tenants in the order of the configuration.
	Tenants []Config
	byKey   map[KeyDigest]string
	byName  map[string]bool
}

// NewSet returns the set of the given tenants. A key that several of them have belongs to the
// first one. The empty key, which is that of a request without one, and the keys of a tenant
// without a name belong to none.
func NewSet(tenants []Config) *Set {
	s := &Set{Tenants: tenants, byKey: map[KeyDigest]string{}, byName: map[string]bool{}}
	for i := range tenants {
		t := &tenants[i]
		s.byName[t.Name] = true
		for _, key := range t.Keys {
			if _, taken := s.byKey[key]; !taken && t.Name != "" {
				s.byKey[key] = t.Name
			}
		}
	}
	delete(s.byKey, Digest(""))
	return s
}

// ByKey returns the name of the tenant with a key, and false if no tenant has it.
func (s *Set) ByKey(key string) (string, bool) {
	name, known := s.byKey[Digest(key)]
	return name, known
}

// Has reports whether the set has a tenant with a name.
func (s *Set) Has(name string) bool { return s.byName[name] }

// Problem is something in a configuration that is valid but hardly meant.
type Problem struct {
	Tenant string `json:"tenant"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("tenant %q %s; %s", p.Tenant, p.Detail, p.Remedy)
}

// Problems returns what is probably wrong with the tenants. largest is the largest task that is
// expected, or the zero size if that is not known.
func (s *Set) Problems(largest model.Size) []Problem {
	var out []Problem
	names := map[string]bool{}
	for i := range s.Tenants {
		t := &s.Tenants[i]
		if names[t.Name] {
			out = append(out, Problem{t.Name, "stands twice", "remove one of the two; the limit and weight of the last one apply"})
		}
		names[t.Name] = true
		if t.Weight <= 0 {
			out = append(out, Problem{t.Name, "has no weight", "set a weight above 0, or its jobs are refused whenever capacity is short"})
		}
		if !largest.Fits(Unlimited(t.Limit)) {
			out = append(out, Problem{t.Name, "has a limit below the size of the largest task", "raise the limit, or such tasks are refused"})
		}
		if len(t.Keys) == 0 {
			out = append(out, Problem{t.Name, "has no key", "add a key, or nobody can submit its jobs"})
		}
		if t.Name == "" {
			out = append(out, Problem{t.Name, "has no name", "give it a name, or its keys are refused"})
			continue
		}
		for _, key := range t.Keys {
			switch owner, known := s.byKey[key]; {
			case !known:
				out = append(out, Problem{t.Name, "has an empty key", "remove the key; requests without a key are refused"})
			case owner != t.Name:
				out = append(out, Problem{t.Name, fmt.Sprintf("shares a key with tenant %q, to which the key belongs", owner), "remove the key from one of them"})
			}
		}
	}
	return out
}

// noLimit stands for a dimension without a limit. Sums of sizes stay far below the overflow.
const noLimit = 1 << 50

// Unlimited returns a limit in which dimensions without a limit have a value that is never
// reached.
func Unlimited(limit model.Size) model.Size {
	out := model.Size{MilliCPU: limit.MilliCPU, MemMB: limit.MemMB, Accel: limit.Accel, Slots: noLimit, Conns: noLimit}
	for _, d := range []*int64{&out.MilliCPU, &out.MemMB, &out.Accel} {
		if *d <= 0 {
			*d = noLimit
		}
	}
	return out
}
