// Maststandin runs one stand-in: a simulated platform service or target.
//
//	maststandin log -listen ADDR [-rate N] [-retain N]
//	maststandin members -listen ADDR -member NAME,ADDRESS,ROLE,POOL,DOMAIN,SLOTS[,fenced] ...
//	maststandin engine|service -listen ADDR -name NAME [-slots N] [-each D] [-fenced]
//	maststandin switch ADDR NAME=NUMBER
//
// The last sets a switch of a running stand-in. Each stand-in serves /switch?NAME=NUMBER; targets serve their runs at /ledger.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/standin/logd"
	"maststage.dev/standin/members"
	"maststage.dev/standin/target"
)

// memberFlag collects -member flags.
type memberFlag []*platformv1.Member

func (m *memberFlag) String() string { return fmt.Sprint(len(*m), " members") }

// Set adds a member.
func (m *memberFlag) Set(s string) error {
	one, err := members.Parse(s)
	if err != nil {
		return err
	}
	*m = append(*m, one)
	return nil
}

func main() {
	if len(os.Args) < 2 {
		fail("missing command: log, members, engine, service or switch")
	}
	if os.Args[1] == "switch" {
		setSwitch(os.Args[2:])
		return
	}
	fs := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "IP:port")
	name := fs.String("name", "target", "name of a target")
	slots := fs.Int("slots", 8, "number of requests that a target runs at once")
	each := fs.Duration("each", 10*time.Millisecond, "time for a token or a call")
	fenced := fs.Bool("fenced", false, "reject requests whose fence is lower than one seen before")
	rate := fs.Int("rate", 100, "maximum number of appends per second")
	retain := fs.Int("retain", 100000, "number of entries kept")
	var list memberFlag
	fs.Var(&list, "member", "member of the list; may be repeated")
	_ = fs.Parse(os.Args[2:])

	mux := http.NewServeMux()
	switch os.Args[1] {
	case "log":
		l := logd.New(*rate, *retain)
		mux.Handle(platformv1connect.NewLogHandler(l))
		mux.Handle("/switch", l.Switches)
	case "members":
		l := members.New(list)
		mux.Handle(platformv1connect.NewMembersHandler(l))
		mux.Handle("/switch", l.Switches)
		mux.Handle("/change", l)
	case "engine", "service":
		t := target.New(*name, *slots, *each, *fenced)
		mux.Handle(platformv1connect.NewTargetHandler(t))
		mux.Handle("/switch", t.Switches)
		mux.Handle("/ledger", t.Book)
	default:
		fail("unknown stand-in " + os.Args[1])
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Addr: *listen, Handler: mux, Protocols: p}
	fail(s.ListenAndServe().Error())
}

// setSwitch sets a switch of a running stand-in.
func setSwitch(args []string) {
	if len(args) != 2 {
		fail("usage: maststandin switch ADDR NAME=NUMBER")
	}
	res, err := http.Get("http://" + args[0] + "/switch?" + args[1])
	if err != nil {
		fail(err.Error())
	}
	if res.StatusCode != http.StatusOK {
		fail(res.Status)
	}
}

func fail(reason string) {
	fmt.Fprintln(os.Stderr, "maststandin:", reason)
	os.Exit(1)
}
