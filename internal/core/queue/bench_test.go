package queue

import (
	"fmt"
	"testing"
	"time"

	"catkinvalve/internal/core/model"
)

// newFullQueue returns a queue with n waiting items of 110 teams, 4 classes and 8
// sizes.
func newFullQueue(n int) *Queue {
	c := Config{MaxPerTeamClass: n, MaxTotal: n, MaxInteractiveWait: 5 * time.Second, AgeingInterval: time.Minute, Quotas: map[string]Quota{}}
	for i := range 110 {
		c.Quotas[fmt.Sprint("team", i)] = quota(1000, true)
	}
	q := New(c)
	for i := range n {
		q.Admit(t0, newItem(fmt.Sprint("key", i/4), fmt.Sprint("team", i/32%110), model.Classes[i%4], index(i%4),
			slots(int64(i/4%8)+1), deadline(at(float64(1000+i%977)))))
	}
	return q
}

// BenchmarkRemove10000Of100000 measures the removal of 2,500 requests with 4 items each.
func BenchmarkRemove10000Of100000(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		q := newFullQueue(100_000)
		b.StartTimer()
		for i := range 2_500 {
			q.RemoveKey(fmt.Sprint("key", i*10))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/10_000, "ns/item")
}

// BenchmarkCycleNoFit100000 measures a cycle in which no item fits.
func BenchmarkCycleNoFit100000(b *testing.B) {
	q := newFullQueue(100_000)
	offers := 0
	b.ReportAllocs()
	for b.Loop() {
		q.RunCycle(at(1), func(Item) OfferResult { offers++; return NoFit })
	}
	b.ReportMetric(float64(offers)/float64(b.N), "offers/op")
}

// BenchmarkCycleStop100000 measures a cycle that ends with its first offer.
func BenchmarkCycleStop100000(b *testing.B) {
	q := newFullQueue(100_000)
	b.ReportAllocs()
	for b.Loop() {
		q.RunCycle(at(1), func(Item) OfferResult { return StopCycle })
	}
}

// BenchmarkRemoveTaskAndAdmit100000 measures the removal and admission of one item.
func BenchmarkRemoveTaskAndAdmit100000(b *testing.B) {
	q := newFullQueue(100_000)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		key := fmt.Sprint("key", i%25_000)
		q.RemoveTask(key, 0)
		q.Admit(t0, newItem(key, "team7", model.Batch))
	}
}

// BenchmarkPlaceAll100000 measures a cycle that places all items.
func BenchmarkPlaceAll100000(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		q := newFullQueue(100_000)
		b.StartTimer()
		q.RunCycle(at(1), func(Item) OfferResult { return Placed })
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100_000, "ns/item")
}
