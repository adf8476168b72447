"""Links between figtray's processes, heartbeats and the serving right."""
