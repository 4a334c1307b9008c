package instancelist

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/testrun"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against one malformed entry that hides all others, so that the instances stop following the list.
func TestMalformedEntry(t *testing.T) {
	const good = `{"ID":"a","Role":"Worker","Address":"127.0.0.1:1"}`
	type listCase struct {
		list      string
		malformed bool
		want      []ids.InstanceID
	}
	cases := make(map[string]listCase)
	for name, test := range map[string]listCase{
		"none":                  {list: good, want: []ids.InstanceID{"a"}},
		"wrong type":            {list: `{"ID":7},` + good, malformed: true, want: []ids.InstanceID{"a"}},
		"number too large":      {list: good + `,{"ID":"b","Slots":1e400}`, malformed: true, want: []ids.InstanceID{"a"}},
		"nested":                {list: good + `,{"ID":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`, malformed: true, want: []ids.InstanceID{"a"}},
		"two entries of an id":  {list: good + `,{"ID":"a","Address":"127.0.0.1:2"}`, malformed: true, want: []ids.InstanceID{"a"}},
		"separators in strings": {list: good + `,{"ID":"b]},\"","Address":"127.0.0.1:2"}`, want: []ids.InstanceID{"a", `b]},"`}},
		"no id":                 {list: `{"Address":"127.0.0.1:1"},` + good, malformed: true, want: []ids.InstanceID{"a"}},
		"negative resources":    {list: good + `,{"ID":"b","Address":"127.0.0.1:1","Total":{"Accelerators":-8}}`, malformed: true, want: []ids.InstanceID{"a"}},
		"too many slots":        {list: good + `,{"ID":"b","Address":"127.0.0.1:1","Slots":4611686018427387904}`, malformed: true, want: []ids.InstanceID{"a"}},
		"port out of range":     {list: good + `,{"ID":"b","Address":"127.0.0.1:99999"}`, malformed: true, want: []ids.InstanceID{"a"}},
		"no address":            {list: good + `,{"ID":"b"}`, malformed: true, want: []ids.InstanceID{"a"}},
		"not an object":         {list: `5,` + good, malformed: true, want: []ids.InstanceID{"a"}},
	} {
		cases[name] = test
	}
	const odd = `{"ID":"b","Role":"Worker","Address":"127.0.0.1:1","Slots":31,"Rack":"r1"}`
	for kind, entries := range testrun.OddEntries(odd, "31", `"r1"`) {
		for i, e := range entries {
			// An entry that leaves open what belongs to it hides the rest of the list.
			if strings.Count(e, "[")+strings.Count(e, "{") == strings.Count(e, "]")+strings.Count(e, "}") {
				cases[fmt.Sprint(kind, " ", i)] = listCase{list: good + "," + e, malformed: true, want: []ids.InstanceID{"a"}}
			}
		}
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, l.Close()) }()
			server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { rc.SetBodyString("[" + test.list + "]") }}
			go func() { _ = server.Serve(l) }() // ends with the listener
			instances, err := Dial(l.Addr().String(), time.Second).List(t.Context())
			require.Equal(t, test.malformed, err != nil)
			require.Equal(t, test.malformed, errors.Is(err, ErrMalformed))
			var found []ids.InstanceID
			for _, i := range instances {
				found = append(found, i.ID)
			}
			require.Equal(t, test.want, found)
		})
	}
}
