package instancelist

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Guards against one malformed entry that hides all others, so that the instances stop following the list.
func TestMalformedEntry(t *testing.T) {
	const good = `{"ID":"a","Role":"Worker","Address":"127.0.0.1:1"}`
	for name, test := range map[string]struct {
		list      string
		malformed bool
		want      []ids.InstanceID
	}{
		"none":             {list: good, want: []ids.InstanceID{"a"}},
		"wrong type":       {list: `{"ID":7},` + good, malformed: true, want: []ids.InstanceID{"a"}},
		"number too large": {list: good + `,{"ID":"b","Slots":1e400}`, malformed: true, want: []ids.InstanceID{"a"}},
		"nested":           {list: good + `,{"ID":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`, malformed: true, want: []ids.InstanceID{"a"}},
		"not an object":    {list: `5,` + good, malformed: true, want: []ids.InstanceID{"a"}},
	} {
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
