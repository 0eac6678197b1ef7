package routing

import (
	"testing"

	"github.com/matryer/is"
)

func parse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const testConfig = `{"version":3,"unknown":{"x":1},
 "routes":[
  {"name":"root","host":"A.example","path_prefix":"/","service":"s0"},
  {"name":"short","host":"a.example","path_prefix":"/x/","service":"s1"},
  {"name":"long","host":"a.example","path_prefix":"/x/y/","service":"s2","priority":2},
  {"name":"other","host":"b.example","path_prefix":"/x/","service":"s3"}],
 "organisations":[{"name":"t","keys":["k1","k2"],"priority":1,"prepaid":100},{"name":"u","keys":["k3"]}]}`

// Guards against a request that gets the route of another host name or of a shorter prefix.
func TestLongestPathPrefixMatches(t *testing.T) {
	c := parse(t, testConfig)
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/z", "short"},
		{"a.example:8080", "/x/z", "short"},
		{"A.EXAMPLE", "/x/z", "short"},
		{"a.example", "/other", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			is := is.New(t)
			route := c.Match(tc.host, tc.path)
			if tc.want == "" {
				is.Equal(route, nil)
				return
			}
			is.Equal(route.Name, tc.want)
		})
	}
}

func TestOrganisationsAreFoundByKeyAndName(t *testing.T) {
	is := is.New(t)
	c := parse(t, testConfig)
	is.Equal(c.ByKey("k2").Name, "t")
	is.Equal(c.ByKey("k3").Name, "u")
	is.Equal(c.ByKey("k4"), nil)
	is.Equal(*c.Organisation("t").Prepaid, int64(100))
	is.Equal(c.Organisation("u").Prepaid, nil)
}

// Guards against a route's priority that outweighs that of the organisation.
func TestOrganisationPriorityGoesBeforeThatOfRoute(t *testing.T) {
	is := is.New(t)
	c := parse(t, testConfig)
	urgentRoute, otherRoute := c.Match("a.example", "/x/"), c.Match("a.example", "/x/y/")
	is.Equal(c.RequestPriority(c.Organisation("u"), urgentRoute), 0)
	is.Equal(c.RequestPriority(c.Organisation("u"), otherRoute), 2)
	is.Equal(c.RequestPriority(c.Organisation("t"), urgentRoute), 3) // the organisation's priority comes first
	is.Equal(c.RequestPriority(nil, otherRoute), 2)
}

func TestServicesArePickedByWeight(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []Weight{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	is.Equal(counts["a"], 900)
	is.Equal(counts["b"], 100)
	plain := Route{Service: "d"}
	is.Equal(plain.PickService(0.5), "d")
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":    `{`,
		"no version": `{"routes":[]}`,
		"bad prefix": `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"x/"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(text))
			is.New(t).True(err != nil)
		})
	}
}

func TestSafeAndResumableRoutesAreRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Safe}).Repeatable())
	is.True(!(&Route{Kind: Unsafe}).Repeatable())
	is.True(!(&Route{Kind: Streaming}).Repeatable())
	is.True((&Route{Kind: Streaming, Resumable: true}).Repeatable())
}
