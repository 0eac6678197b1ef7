// Store runs the stand-in of the platform's store and writes one configuration, given as a file, into it.
package main

import (
	"encoding/json"
	"flag"
	"log"
	"net/http"
	"os"

	"maststage.dev/review/store"
)

func main() {
	listen := flag.String("listen", "", "address, IP:port")
	config := flag.String("config", "", "file with the first configuration")
	flag.Parse()
	data, err := os.ReadFile(*config)
	if err != nil {
		log.Fatal(err)
	}
	s := store.New()
	s.Put("keyed.op", "config", json.RawMessage(data))
	log.Fatal(http.ListenAndServe(*listen, s))
}
