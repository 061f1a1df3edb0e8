package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promotionService is a stand-in for the platform's promotions. It checks fences at the
// time when a call is executed.
type promotionService struct {
	rig *rig

	mu       sync.Mutex
	highest  map[string]uint64        // token by service
	late     map[string]time.Duration // by service: after which time a call is executed without an answer
	calls    int
	lateOnes int
}

// setLate makes the calls for a service late, or answered at once if d is zero.
func (p *promotionService) setLate(service string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late[service] = d
}

// ServeHTTP handles POST /promote.
func (p *promotionService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body map[string]string
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	late := p.late[body["service"]]
	p.calls++
	if late > 0 {
		p.lateOnes++
	}
	p.mu.Unlock()
	holder := r.Header.Get("Duty-Holder")
	if late == 0 {
		status := p.execute(body["service"], body["id"], token)
		p.rig.record("platform: promote %s by %s, token %d: %d", body["id"], holder, token, status)
		w.WriteHeader(status)
		return
	}
	p.rig.record("platform: promote %s by %s, token %d: no answer, executed %s later", body["id"], holder, token, late)
	time.AfterFunc(late, func() {
		p.rig.record("platform: promote %s, token %d is executed now: %d", body["id"], token, p.execute(body["service"], body["id"], token))
	})
	<-r.Context().Done() // until the caller gives up
}

// execute executes a promotion and returns its status.
func (p *promotionService) execute(service, id string, token uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if token < p.highest[service] {
		return http.StatusConflict
	}
	for _, g := range p.rig.groups {
		for _, m := range g.members {
			if g.service != service || m.id != id {
				continue
			}
			g.mu.Lock()
			down := m.down()
			g.mu.Unlock()
			if down {
				return http.StatusConflict
			}
			p.highest[service] = token
			time.AfterFunc(promoteTime, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if g.primary != m {
					p.rig.record("members: %s leads from now on, term %d", m.id, g.term+1)
				}
				g.lead(m)
			})
			return http.StatusOK
		}
	}
	return http.StatusConflict
}
