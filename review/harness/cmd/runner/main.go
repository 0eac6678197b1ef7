// Runner runs one incarnation of the stand-in of a runner.
package main

import (
	"flag"
	"log"
	"os"
	"time"

	"maststage.dev/review/runner"
)

func main() {
	o := runner.Options{Log: os.Stdout, Heartbeat: 1200 * time.Millisecond}
	flag.StringVar(&o.ID, "id", "", "id of this incarnation")
	flag.StringVar(&o.Service, "service", "", "service")
	flag.StringVar(&o.Zone, "zone", "", "zone")
	flag.StringVar(&o.Listen, "listen", "", "address, IP:port")
	flag.StringVar(&o.Store, "store", "", "address of the platform's store")
	flag.IntVar(&o.Slots, "slots", 64, "requests at a time")
	flag.IntVar(&o.Queue, "queue", 24, "requests that wait for a place")
	flag.BoolVar(&o.Unframed, "unframed", false, "answers carry no length and end with their connection")
	flag.Parse()
	log.Fatal(runner.Serve(o))
}
