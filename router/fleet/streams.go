package fleet

import (
	"context"
	"net/http"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/streamversion"
)

// Paths of the calls about the versions at which streams began.
const (
	pathStreams = "/fleet/streams"
	pathStream  = "/fleet/stream"
)

// StreamVersions knows at which version streams began; *streamversion.Directory implements it.
type StreamVersions interface {
	HandleAnnouncement(streams []streamversion.Announcement)
	Answer(q streamversion.Question) streamversion.Answer
}

// distinctDomains is how many of the first holders of a stream are of different failure domains if there are that many.
const distinctDomains = 3

type streamsRequest struct {
	Streams []streamversion.Announcement `json:"streams"`
}

// Holders implements streamversion.Peers.
func (f *Fleet) Holders(k streamversion.Key) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var able []Host
	for _, name := range f.activePeers() {
		if h := f.hosts[name].host; h.StreamVersions {
			able = append(able, h)
		}
	}
	ranked := rendezvous.Rank(k.String(), able, func(h Host) string { return h.Name })
	return addressesOf(spreadOverDomains(ranked, distinctDomains))
}

// SomeKeepNoVersionRecords reports whether another host is of a build that keeps no records of versions.
func (f *Fleet) SomeKeepNoVersionRecords() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.activePeers() {
		if !f.hosts[name].host.VersionRecords {
			return true
		}
	}
	return false
}

// spreadOverDomains moves the first hosts of up to count failure domains to the front.
func spreadOverDomains(ranked []Host, count int) []Host {
	seen := map[string]bool{}
	var first, rest []Host
	for _, h := range ranked {
		if seen[h.Domain] || len(first) == count {
			rest = append(rest, h)
			continue
		}
		seen[h.Domain] = true
		first = append(first, h)
	}
	return append(first, rest...)
}

func addressesOf(hosts []Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Address
	}
	return list
}

// Tell implements streamversion.Peers.
func (f *Fleet) Tell(ctx context.Context, address string, streams []streamversion.Announcement) error {
	return f.client.callWithTimeout(ctx, address, pathStreams, streamsRequest{Streams: streams}, &emptyResponse{})
}

// Ask implements streamversion.Peers.
func (f *Fleet) Ask(ctx context.Context, address string, q streamversion.Question) (a streamversion.Answer, err error) {
	err = f.client.callWithTimeout(ctx, address, pathStream, q, &a)
	return a, err
}

func (f *Fleet) serveStreams(w http.ResponseWriter, r *http.Request) {
	var request streamsRequest
	if !readJSON(w, r, &request) {
		return
	}
	f.opts.StreamVersions.HandleAnnouncement(request.Streams)
	writeJSON(w, emptyResponse{})
}

func (f *Fleet) serveStream(w http.ResponseWriter, r *http.Request) {
	var q streamversion.Question
	if !readJSON(w, r, &q) {
		return
	}
	writeJSON(w, f.opts.StreamVersions.Answer(q))
}
