package rig3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Service and the databases that Config routes to it. Board is read with a staleness of at
// most MaxStaleness.
const (
	Service      = "huvo11a"
	Slots        = "slots"
	Board        = "board"
	MaxStaleness = 1500 * time.Millisecond
)

// Config returns a configuration like that of kovacic-booths, with one service.
func Config(syncReplicas int, slotsTimeout time.Duration) string {
	return fmt.Sprintf(`{"version":1,"routes":[`+
		`{"name":"r-1","database":%q,"path_prefix":"/","route_type":"primary","timeout_ms":%d,"objective_ms":500,"priority":1,"service":%q,"attempts":2},`+
		`{"name":"r-2","database":%q,"path_prefix":"/","route_type":"bounded_staleness","timeout_ms":3000,"objective_ms":1200,"priority":2,"service":%q,"attempts":2,"max_staleness_ms":%d}],`+
		`"services":[{"name":%q,"health_path":"/health","max_conns":55,"protocol":"h1","tls":false,"sync_replicas":%d}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"txn_idle_ms":3000}}`,
		Slots, slotsTimeout.Milliseconds(), Service, Board, Service, MaxStaleness.Milliseconds(), Service, syncReplicas)
}

// StrayHeartbeat sends the heartbeat of another writer: a member's but for its id. It
// reports whether a control host acknowledged it.
func StrayHeartbeat(r *Record, control []string, like *Member, id string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": Service, "address": like.Addr, "zone": like.Zone, "version": "v1", "slots": like.Sl, "state": "ready",
		"warmup_left_ms": 0, "db_role": "replica", "seq": 1, "born": time.Now().UnixMilli(),
	})
	for _, c := range control {
		resp, err := http.Post("http://"+c+"/instances/"+url.PathEscape(id)+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			r.Printf("another writer: %v", err)
			continue
		}
		_ = resp.Body.Close()
		r.Print("another writer's heartbeat under the id %q: %d", id, resp.StatusCode)
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
