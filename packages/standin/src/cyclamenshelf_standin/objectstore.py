"""Stand-in for the platform's object store."""

import threading

from cyclamenshelf_daemon import webserver


class ObjectStore:
    """Contents of the stored objects, by key."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.objects: dict[str, bytes] = {}


def make_handler(store: ObjectStore) -> webserver.Handler:
    """Return an HTTP handler that serves the object store."""

    def put_object(request: webserver.Request) -> webserver.Response:
        (key,) = request.args
        with store.lock:
            if request.headers.get("if-none-match") == "*" and (
                key in store.objects
            ):
                return webserver.make_json(412, {"code": "exists"})
            store.objects[key] = request.body
        return webserver.make_json(200, {})

    def get_object(request: webserver.Request) -> webserver.Response:
        (key,) = request.args
        with store.lock:
            content = store.objects.get(key)
        if content is None:
            return webserver.make_json(404, {"code": "absent"})
        return webserver.Response(200, content)

    def delete_object(request: webserver.Request) -> webserver.Response:
        (key,) = request.args
        with store.lock:
            store.objects.pop(key, None)
        return webserver.make_json(200, {})

    def list_keys(request: webserver.Request) -> webserver.Response:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "100"))
        with store.lock:
            keys = sorted(
                key
                for key in store.objects
                if key.startswith(prefix) and key > after
            )
        return webserver.make_json(200, {"keys": keys[:limit]})

    return webserver.make_router(
        [
            ("PUT", "/v1/objects/(.+)", put_object),
            ("GET", "/v1/objects/(.+)", get_object),
            ("DELETE", "/v1/objects/(.+)", delete_object),
            ("GET", "/v1/objects", list_keys),
        ]
    )
