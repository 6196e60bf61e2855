package rest

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

const (
	logLimit    = 100 // maximum number of changes in one response
	revisionKey = "revision"
	serialKey   = "serial" // number that operators give their configuration
)

// ConfigAPI serves the configuration endpoints.
type ConfigAPI struct {
	Node   *gossip.Node                         // has the configuration in force at this daemon
	Reader *change.Reader                       // reads the platform
	Writer func(operator string) *change.Writer // returns a writer that records changes under the operator's name
}

// register adds the handlers:
//
//	GET  /config                  keys in force at this daemon, each with its file
//	GET  /config/files            files of the configuration folder in force at this daemon
//	GET  /config/latest           latest accepted revision, read from the platform
//	GET  /config/log              latest changes, read from the platform
//	GET  /config/behind?revision= daemons that do not have the revision in force; queries every daemon
//	GET  /config/behind?serial=   the same for the number that operators give their configuration
//	POST /config/changes          makes a change with the fields operator, base, dry-run, put, remove
func (a *ConfigAPI) register(group *gin.RouterGroup) {
	group.GET("", a.show)
	group.GET("/files", a.files)
	group.GET("/latest", a.latest)
	group.GET("/log", a.log)
	group.GET("/behind", a.behind)
	group.POST("/changes", a.change)
}

func (a *ConfigAPI) show(c *gin.Context) {
	merged, err := files.Merge(a.Node.FileSet())
	if err != nil {
		writeError(c, err)
		return
	}
	entries := make([]gin.H, 0, len(merged.Keys))
	for _, entry := range merged.Entries() {
		entries = append(entries, gin.H{
			"section": entry.ID.Section.String(), "name": entry.ID.Name, "key": entry.ID.Key,
			"value": entry.Value, "file": entry.File, "line": entry.Line,
		})
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: merged.Config.Revision, "keys": entries})
}

func (a *ConfigAPI) files(c *gin.Context) {
	set := a.Node.FileSet()
	list := make([]gin.H, 0, len(set.Files))
	for _, file := range set.Files {
		list = append(list, gin.H{"name": file.Name, "content": file.Content})
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: set.Revision, "files": list})
}

func (a *ConfigAPI) latest(c *gin.Context) {
	head, err := a.Reader.ReadHead(c.Request.Context())
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: head.Revision, "change-id": head.ID})
}

func (a *ConfigAPI) log(c *gin.Context) {
	changes, err := a.Writer("").History(c.Request.Context(), logLimit)
	if err != nil {
		writeError(c, err)
		return
	}
	list := make([]gin.H, 0, len(changes))
	for _, entry := range changes {
		put := make([]string, 0, len(entry.Put))
		for _, file := range entry.Put {
			put = append(put, file.Name)
		}
		list = append(list, gin.H{
			revisionKey: entry.Revision, "id": entry.ID, "operator": entry.Operator, "at": entry.At, "put": put, "remove": entry.Remove,
		})
	}
	c.JSON(http.StatusOK, gin.H{"changes": list})
}

func (a *ConfigAPI) behind(c *gin.Context) {
	awaited, err := parseAwaited(c)
	if err != nil {
		writeError(c, err)
		return
	}
	list := []gin.H{}
	for _, daemon := range a.Node.LaggingMembers(c.Request.Context(), awaited) {
		entry := gin.H{
			"address": daemon.Record.Address, "zone": daemon.Record.Zone, "in-force": daemon.InForce, "serial-in-force": daemon.Serial,
		}
		if daemon.Err != nil {
			entry["error"] = daemon.Err.Error()
		}
		list = append(list, entry)
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: awaited.Revision, serialKey: awaited.Serial, "behind": list})
}

// parseAwaited reads the revision or serial that a request names.
func parseAwaited(c *gin.Context) (gossip.Awaited, error) {
	var awaited gossip.Awaited
	for key, target := range map[string]*uint64{revisionKey: &awaited.Revision, serialKey: &awaited.Serial} {
		text, given := c.GetQuery(key)
		if !given {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return awaited, code.NotRunf(code.BadRequest, "%s %q is not a whole number of at least 0", key, text)
		}
		*target = number
	}
	if awaited == (gossip.Awaited{}) && c.Query(revisionKey) == "" {
		return awaited, code.NotRunf(code.BadRequest, "want a %s or a %s", revisionKey, serialKey)
	}
	return awaited, nil
}

// changeBody is the JSON body of a change request.
type changeBody struct {
	Operator string     `json:"operator"`
	Base     uint64     `json:"base"`
	DryRun   bool       `json:"dry-run"`
	Put      []fileBody `json:"put"`
	Remove   []string   `json:"remove"`
}

type fileBody struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

func (a *ConfigAPI) change(c *gin.Context) {
	var body changeBody
	if err := c.ShouldBindJSON(&body); err != nil {
		writeError(c, code.NotRunf(code.BadRequest, "malformed change").WithCause(err))
		return
	}
	if body.Operator == "" {
		writeError(c, code.NotRunf(code.BadRequest, "operator is missing"))
		return
	}
	result, err := a.apply(c, body)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, View(result))
}

func (a *ConfigAPI) apply(c *gin.Context, body changeBody) (change.Result, error) {
	writer := a.Writer(body.Operator)
	options := change.Options{Base: body.Base, DryRun: body.DryRun}
	switch {
	case len(body.Put) > 0 && len(body.Remove) > 0:
		return change.Result{}, code.NotRunf(code.BadRequest, "a change cannot both put and remove files")
	case len(body.Put) > 0:
		put := make([]files.File, 0, len(body.Put))
		for _, file := range body.Put {
			put = append(put, files.File{Name: file.Name, Content: file.Content})
		}
		return writer.Add(c.Request.Context(), put, options)
	case len(body.Remove) > 0:
		return writer.Remove(c.Request.Context(), body.Remove, options)
	default:
		return change.Result{}, code.NotRunf(code.BadRequest, "the change has no files to put or to remove")
	}
}
