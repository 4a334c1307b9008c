package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
)

type (
	wireItem struct {
		Key       string         `json:"key"`
		Value     []byte         `json:"value,omitempty"`
		Revision  store.Revision `json:"revision"`
		Tombstone bool           `json:"tombstone,omitempty"`
	}

	wireTransaction struct {
		Expected []store.Condition `json:"expected"`
		Writes   []struct {
			Key   string        `json:"key"`
			Value []byte        `json:"value"`
			Lease store.LeaseID `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
)

const (
	pageItems     = 500
	pageBytes     = 1 << 20
	storeCallTime = 40 * time.Second
)

// serveStore serves the platform's store to one instance at an address.
func serveStore(address string, client store.TransactionClient) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	handle := func(out http.ResponseWriter, in *http.Request) {
		ctx, cancel := context.WithTimeout(in.Context(), storeCallTime)
		defer cancel()
		answer, err := handleStoreCall(ctx, client, in)
		var conflict *store.Conflict
		status := http.StatusOK
		switch {
		case err == nil:
		case errors.As(err, &conflict):
			status = http.StatusPreconditionFailed
			items := []wireItem{}
			for _, e := range conflict.Entries {
				items = append(items, wireItem{Key: e.Key, Value: e.Value, Revision: e.Revision})
			}
			answer = map[string]any{"items": items}
		case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrLeaseNotFound):
			status, answer = http.StatusNotFound, map[string]any{}
		case errors.Is(err, store.ErrCompacted):
			status, answer = http.StatusGone, map[string]any{}
		case errors.Is(err, store.ErrRefused):
			status, answer = http.StatusServiceUnavailable, map[string]any{}
		default:
			panic(http.ErrAbortHandler)
		}
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(answer) // the caller may be gone
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(handle)}).Serve(l) }() // until the program ends
	return nil
}

func handleStoreCall(ctx context.Context, client store.TransactionClient, in *http.Request) (any, error) {
	query := in.URL.Query()
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(query.Get(name), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	path := strings.TrimPrefix(in.URL.Path, "/jujubegrade/")
	switch path {
	case "kv-key":
		e, err := client.Get(ctx, query.Get("key"))
		return wireItem{Key: e.Key, Value: e.Value, Revision: e.Revision}, err
	case "kv-range":
		entries, revision, err := client.List(ctx, query.Get("prefix"))
		items, more, size := []wireItem{}, false, 0
		for _, e := range entries {
			if e.Key <= query.Get("after") {
				continue
			}
			if size += len(e.Value); len(items) == pageItems || len(items) > 0 && size > pageBytes {
				more = true
				break
			}
			items = append(items, wireItem{Key: e.Key, Value: e.Value, Revision: e.Revision})
		}
		return map[string]any{"items": items, "hasMore": more, "currentRev": revision}, err
	case "kv-watch":
		events, revision, err := client.Watch(ctx, query.Get("prefix"), store.Revision(number("after")), time.Duration(number("waitMs"))*time.Millisecond)
		items := []wireItem{}
		for _, e := range events {
			items = append(items, wireItem{Key: e.Key, Value: e.Value, Revision: e.Revision, Tombstone: e.Deleted})
		}
		return map[string]any{"events": items, "currentRev": revision}, err
	case "kv-txn":
		var body wireTransaction
		if err := json.NewDecoder(in.Body).Decode(&body); err != nil {
			return nil, err
		}
		tx := store.Transaction{Conditions: body.Expected, Deletes: body.Deletes}
		for _, w := range body.Writes {
			tx.Sets = append(tx.Sets, store.Set{Key: w.Key, Value: w.Value, Lease: w.Lease})
		}
		revision, err := client.Commit(ctx, tx)
		return map[string]any{"revision": revision}, err
	case "kv-lease":
		var body struct {
			TTL int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(in.Body).Decode(&body); err != nil {
			return nil, err
		}
		id, ttl, err := client.GrantLease(ctx, time.Duration(body.TTL)*time.Millisecond)
		return map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()}, err
	}
	id, err := strconv.ParseUint(strings.TrimPrefix(path, "kv-keep/"), 10, 64)
	if err != nil {
		return nil, err
	}
	return map[string]any{}, client.RenewLease(ctx, store.LeaseID(id))
}
