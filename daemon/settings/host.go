package settings

// Host configures the identity of a host and where it listens.
type Host struct {
	Name        string `ini:"name"`
	Domain      string `ini:"domain"`
	Region      string `ini:"region" default:"main"`
	Listen      string `ini:"listen"`                      // for callers and operators
	PeerListen  string `ini:"peer_listen"`                 // for other hosts
	PeerAddress string `ini:"peer_address"`                // address at which other hosts reach PeerListen
	FirstKey    string `ini:"first_key_sha256" default:""` // accepted as the operator's key until one is declared
}
