package gate

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGate(t *testing.T) {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	g := Open(t, "127.0.0.1", echo.Addr().String())
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", g.Address(), 300*time.Millisecond) }
	passes := func(c net.Conn) bool {
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintln(c, "word")
		got, err := bufio.NewReader(c).ReadString('\n')
		return err == nil && got == "word\n"
	}
	open, err := dial()
	is.NoErr(err)
	is.True(passes(open))

	g.ShutNew()
	_, err = dial()
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.True(passes(open))
	g.Restore()

	g.StallNew()
	for range 2 {
		_, err = dial()
		var timeout net.Error
		is.True(errors.As(err, &timeout) && timeout.Timeout())
	}
	is.True(passes(open))
	g.Restore()
	again, err := dial()
	is.NoErr(err)
	is.True(passes(again))

	g.Freeze()
	fmt.Fprintln(again, "late")
	is.NoErr(again.SetDeadline(time.Now().Add(200 * time.Millisecond)))
	_, err = again.Read(make([]byte, 1))
	is.True(err != nil)
	g.Restore()
	is.NoErr(again.SetDeadline(time.Now().Add(time.Second)))
	got, err := bufio.NewReader(again).ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "late\n")

	g.Shut()
	is.True(!passes(open))
	_, err = dial()
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}
