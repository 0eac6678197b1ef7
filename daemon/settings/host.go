package settings

// Host says what this host is and where it listens.
type Host struct {
	Name        string `ini:"name"`
	Domain      string `ini:"domain"`
	Region      string `ini:"region" default:"main"`
	Listen      string `ini:"listen"`                      // callers and operators
	PeerListen  string `ini:"peer_listen"`                 // other hosts
	PeerAddress string `ini:"peer_address"`                // where they reach PeerListen
	FirstKey    string `ini:"first_key_sha256" default:""` // operator's key until one is declared
}
