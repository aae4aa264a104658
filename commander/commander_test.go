package commander

import (
	"context"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pimentowind/pimentowind/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pimentowind": func() { os.Exit(Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(standin.NewPlatform("secret").Handler())
			env.Defer(server.Close)
			env.Setenv("PIMENTOWIND_PLATFORM", server.URL)
			env.Setenv("PIMENTOWIND_TOKEN", "secret")
			return nil
		},
	})
}
