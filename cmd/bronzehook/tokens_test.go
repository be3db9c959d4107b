package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzehook/fault"
	"bronzehook/gateway"
)

func TestParseCallerTokens(t *testing.T) {
	cases := []struct {
		name string
		text string
		want map[string]gateway.Caller
		code fault.Code
	}{
		{"callers are returned by their tokens", "- {team: web, name: desk, token: secret-1}\n- {team: ops, token: secret-2}\n",
			map[string]gateway.Caller{"secret-1": {Name: "desk", Team: "web"}, "secret-2": {Team: "ops"}}, ""},
		{"an unknown key must not be ignored", "- {team: web, token: secret-1, tokn: x}\n", nil, fault.CodeInvalid},
		{"a caller without a team must be rejected", "- {token: secret-1}\n", nil, fault.CodeInvalid},
		{"two callers must not share one token", "- {team: a, token: secret-1}\n- {team: b, token: secret-1}\n", nil, fault.CodeInvalid},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := parseCallerTokens("tokens.yaml", []byte(tc.text))
			if (err == nil) != (tc.code == "") || err != nil && !fault.Is(err, tc.code) {
				t.Fatalf("error %v, want code %q", err, tc.code)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("callers (-want +got):\n%s", diff)
			}
			if err != nil && strings.Contains(err.Error(), "secret") {
				t.Errorf("the error reveals a token: %v", err)
			}
		})
	}
}
