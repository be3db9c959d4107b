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
		{"callers are known by their tokens", "- {team: web, name: desk, token: secret-1}\n- {team: ops, token: secret-2}\n",
			map[string]gateway.Caller{"secret-1": {Name: "desk", Team: "web"}, "secret-2": {Team: "ops"}}, ""},
		{"an unknown key must not be passed over", "- {team: web, token: secret-1, tokn: x}\n", nil, fault.CodeInvalid},
		{"a caller without a team must be refused", "- {token: secret-1}\n", nil, fault.CodeInvalid},
		{"one token must not name two callers", "- {team: a, token: secret-1}\n- {team: b, token: secret-1}\n", nil, fault.CodeInvalid},
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
				t.Errorf("the error shows a token: %v", err)
			}
		})
	}
}
