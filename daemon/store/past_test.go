package store

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold/view"
)

// A run stays at its owner when the view changes, so the former replicas of an id must still be found.
func TestPastReplicas(t *testing.T) {
	is := is.New(t)
	s := New()
	offset := uint64(0)
	put := func(inc string, r *peerv1.Record) {
		offset++
		data, err := proto.Marshal(&peerv1.Batch{Incarnation: inc, Seq: 1, Records: []*peerv1.Record{r}})
		is.NoErr(err)
		s.Apply(offset, data)
	}
	for i := range 4 {
		name := fmt.Sprint("h", i)
		put(name, &peerv1.Record{Kind: &peerv1.Record_Join{Join: &peerv1.Join{Host: name, Domain: name, Region: "r"}}})
	}
	first, _, _ := s.Replicas("id", "r")
	owner := first[0]
	has := func(ms []view.Member) bool {
		return slices.ContainsFunc(ms, func(m view.Member) bool { return m.Incarnation == owner.Incarnation })
	}
	is.True(!has(s.PastReplicas("id", "r"))) // it is a current replica
	put("judge", &peerv1.Record{Kind: &peerv1.Record_Evict{Evict: &peerv1.Evict{Incarnation: owner.Incarnation, Epoch: s.Epoch()}}})
	now, _, _ := s.Replicas("id", "r")
	is.True(!has(now))
	is.True(has(s.PastReplicas("id", "r")))
	is.Equal(s.PastReplicas("id", "other region"), nil)
}
