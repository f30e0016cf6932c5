package handover

import (
	"time"

	"portstall/policy"
)

// FinishedRetention is how long the id of a request that may have run is remembered after its end.
const FinishedRetention = time.Minute

// maxFinished is how many requests a generation of finishedRequests holds. Past that the older of two generations is
// forgotten.
const maxFinished = 8192

// finishedRequest is a request that has ended and may have run.
type finishedRequest struct {
	until time.Duration // until when it is remembered
	run   policy.Run    // its first attempt that may have run; zero if it ran at another process
}

// finishedRequests holds the requests that have ended and may have run, by their ids. Its memory is bounded however many
// there are. The zero value is empty.
type finishedRequests struct {
	recent, older map[string]finishedRequest
	begun         time.Duration // when recent got its first request
}

// add remembers a request.
func (f *finishedRequests) add(now time.Duration, id string, request finishedRequest) {
	if f.recent == nil || len(f.recent) >= maxFinished || now-f.begun >= FinishedRetention {
		f.recent, f.older, f.begun = map[string]finishedRequest{}, f.recent, now
	}
	f.recent[id] = request
}

// find returns the request with an id, if it is remembered.
func (f *finishedRequests) find(now time.Duration, id string) (run policy.Run, known bool) {
	request, known := f.recent[id]
	if !known {
		request, known = f.older[id]
	}
	return request.run, known && now < request.until
}

// addTo adds the ids that are remembered to a map, each with the end of its memory.
func (f *finishedRequests) addTo(now time.Duration, all map[string]time.Duration) {
	for _, generation := range []map[string]finishedRequest{f.older, f.recent} {
		for id, request := range generation {
			if now < request.until {
				all[id] = request.until
			}
		}
	}
}
