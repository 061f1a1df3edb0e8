package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Promotion is one call that the platform received.
type Promotion struct {
	Service, Member, Holder string
	Token                   uint64
	Status                  int
}

// Platform is a stand-in of the platform's interface for promotions.
type Platform struct {
	record   *Record
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	groups map[string]*Group
	tokens map[string]uint64 // highest token by service
}

func newPlatform(ip string, r *Record) (*Platform, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Platform{record: r, listener: l, groups: map[string]*Group{}, tokens: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Address returns where the platform listens.
func (p *Platform) Address() string { return p.listener.Addr().String() }

func (p *Platform) close() { _ = p.server.Close() }

// Add makes a group known to the platform.
func (p *Platform) Add(g *Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[g.Service] = g
}

// promote checks the token and the member, as the pages say, and starts the promotion.
func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	var body map[string]string
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Promotion{Service: body["service"], Member: body["id"], Holder: r.Header.Get("Duty-Holder"), Token: token, Status: http.StatusOK}
	p.mu.Lock()
	g := p.groups[body["service"]]
	if g == nil || token < p.tokens[body["service"]] || !g.running(body["id"]) {
		call.Status = http.StatusConflict
	}
	if g != nil {
		p.tokens[body["service"]] = max(p.tokens[body["service"]], token)
	}
	p.mu.Unlock()
	p.record.Add("platform: promote %s of %s by %s with token %d: %d", call.Member, call.Service, call.Holder, call.Token, call.Status)
	if call.Status == http.StatusOK {
		g.promote(body["id"])
	}
	w.WriteHeader(call.Status)
}
