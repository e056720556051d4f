package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/console"
	"godwitplank/gateway"
	"godwitplank/piece"
	"godwitplank/route"
)

// The command sends the question that its flags describe with the operator token, and prints the answer as a table or JSON. A
// wrong token is refused.
func TestExplainWhere(t *testing.T) {
	is := is.New(t)
	var asked gateway.Where
	answer := gateway.Explanation{
		Route: "chat", Decision: gateway.Wait, Reason: "3 pieces wait",
		Stages: []gateway.ExplainedStage{{Service: "pieces", Pieces: 4, Terms: piece.Terms{
			DispatcherVM: "vm-a", Known: true, Endpoints: []piece.EndpointTerms{{Endpoint: "p-1", Excluded: "its call slots are in use"}},
		}}},
		Services: []gateway.ExplainedService{{Service: "engine", Share: 1, Chosen: "e-1", Candidates: []route.Terms{{Endpoint: "e-1", Home: true, Chance: 1}}}},
	}
	c := &console.Console{Token: "right", Metrics: http.NotFoundHandler(), Explainer: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = gateway.Where{}
		body, _ := io.ReadAll(r.Body)
		is.NoErr(json.Unmarshal(body, &asked))
		_ = json.NewEncoder(w).Encode(answer)
	})}
	server := httptest.NewServer(c.Handler())
	defer server.Close()
	run := func(token, flags string) (string, error) {
		file := filepath.Join(t.TempDir(), "token")
		is.NoErr(os.WriteFile(file, []byte(token), 0o600))
		var out bytes.Buffer
		command := Command()
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetArgs(strings.Fields("explain where --server " + strings.TrimPrefix(server.URL, "http://") + " --operator_token_file " + file + " " + flags))
		err := command.Execute()
		return out.String(), err
	}
	const flags = "--host chat.example --path /v1 --workspace w --prompt a:b:900,c:40 --pieces 4,2 --deadline 3s"
	out, err := run("right", flags)
	is.NoErr(err)
	is.Equal(asked, gateway.Where{
		Host: "chat.example", Path: "/v1", Workspace: "w", Prompt: []gateway.WherePart{{ID: "a:b", Tokens: 900}, {ID: "c", Tokens: 40}},
		Pieces: []int{4, 2}, DeadlineMS: 3000,
	})
	for _, part := range []string{"decision wait: 3 pieces wait", "its call slots are in use", "chosen e-1", "home of the prompt"} {
		is.True(strings.Contains(out, part))
	}
	out, err = run("right", flags+" --output json")
	is.NoErr(err)
	var decoded gateway.Explanation
	is.NoErr(json.Unmarshal([]byte(out), &decoded))
	is.Equal(decoded, answer)
	_, err = run("wrong", flags)
	is.True(err != nil && strings.Contains(err.Error(), "wrong_token"))
	_, err = run("right", "--prompt nothing")
	is.Equal(ExitCode(err), 2)
}
