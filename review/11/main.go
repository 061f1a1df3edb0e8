// Command 11 shows whether a commit that a replica has received, and that was therefore
// acknowledged, is in the log of the member that is promoted.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	rig3 "github.com/camphorpaddle/camphorpaddle/review/rig3/platform"
)

const (
	clients   = 2                       // of each proxy
	firstDeaf = 1900 * time.Millisecond // how long the first replica receives nothing
	otherDeaf = 5 * time.Second         // how long the other one does
)

func main() { rig3.Main(os.Args[1], 100*time.Second, os.Getenv("TROUBLE") != "0", run) }

func run(r *rig3.Record, trouble bool) (bool, error) {
	s, err := rig3.NewSystem(r, rig3.Options{Proxies: 2})
	if err != nil {
		return false, err
	}
	rig3.CloseAtExit(s)
	defer rig3.CloseAll()
	g, err := rig3.NewGroup(r, rig3.Service, 1, s.ControlAddresses(), []string{s.MemberAddress(0), s.MemberAddress(1), s.MemberAddress(2)})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var lost []string
	acked := map[string]time.Time{} // commits that a member acknowledged to a client, and the promotion lacks
	promoted := make(chan *rig3.Member, 8)
	held := map[string]map[string]bool{} // by promoted member: what its log holds
	ids := map[string]bool{}
	g.Promoted = func(m *rig3.Member) {
		mu.Lock()
		defer mu.Unlock()
		h := map[string]bool{}
		for id := range ids {
			h[id] = m.Holds(id)
		}
		held[m.ID] = h
		promoted <- m
	}
	if err := rig3.ServePlatform(s.PlatformAddress(), g); err != nil {
		return false, err
	}
	if err := s.Start(); err != nil {
		return false, err
	}
	if err := rig3.PutConfig(r, s.ControlAddresses(), rig3.Config(1, 3*time.Second)); err != nil {
		return false, err
	}
	for i := range s.Options.Proxies {
		if err := rig3.AwaitWrite(r, s.CallersAddress(i), rig3.Slots); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)

	first, other := g.Members()[2], g.Members()[1]
	if trouble {
		first.SetDeaf(true)
		other.SetDeaf(true)
		time.AfterFunc(firstDeaf, func() { first.SetDeaf(false) })
		time.AfterFunc(otherDeaf, func() { other.SetDeaf(false) })
	}
	var work sync.WaitGroup
	for i := range s.Options.Proxies {
		for j := range clients {
			c, err := rig3.Connect(r, fmt.Sprintf("u%d-%d", i, j), s.CallersAddress(i), rig3.Slots)
			if err != nil {
				return false, err
			}
			work.Go(func() {
				defer c.Close()
				id := rig3.NewID()
				mu.Lock()
				ids[id] = true
				mu.Unlock()
				a, err := c.Query(id, fmt.Sprintf("WRITE slot-%s booked", c.Name), 5*time.Second)
				if err == nil && a.Code == "" {
					mu.Lock()
					acked[id] = a.Got
					mu.Unlock()
				}
			})
		}
	}
	work.Wait()
	var m *rig3.Member
	select {
	case m = <-promoted:
	case <-time.After(8 * time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	r.Print("%d of %d writes were acknowledged", len(acked), len(ids))
	if m == nil {
		r.Print("no member was promoted")
		if !trouble && len(acked) < len(ids) {
			return false, errors.New("without trouble a write failed")
		}
		return true, nil
	}
	for id := range acked {
		if !held[m.ID][id] {
			lost = append(lost, id)
		}
	}
	r.Print("member %s was promoted; its log lacks %d acknowledged writes: %v", m.ID, len(lost), lost)
	return len(lost) == 0, nil
}
