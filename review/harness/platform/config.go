package harness

import "fmt"

// limitsText is the end of every configuration.
const limitsText = `"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"txn_idle_ms":3000}`

// Route returns the configuration of a route to a service.
func Route(name, database, kind, service string, staleMs int) string {
	return fmt.Sprintf(`{"name":%q,"database":%q,"path_prefix":"/","route_type":%q,"timeout_ms":1000,"objective_ms":500,`+
		`"priority":1,"service":%q,"attempts":2,"max_staleness_ms":%d}`, name, database, kind, service, staleMs)
}

// Service returns the configuration of a service.
func Service(name string, syncReplicas int) string {
	return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":55,"protocol":"h1","tls":false,"sync_replicas":%d}`, name, syncReplicas)
}

// Config returns a complete configuration.
func Config(version int, routes, services string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],%s}`, version, routes, services, limitsText)
}
